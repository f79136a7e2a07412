/** Logging with Effect's logger: one logfmt line per event on standard error, at the level that LOG_LEVEL names. */
import { Effect, HashMap, Layer, Logger, LogLevel } from 'effect';

const LEVELS: Record<string, LogLevel.LogLevel> = {
  error: LogLevel.Error,
  info: LogLevel.Info,
  debug: LogLevel.Debug,
};

/** Formats a field's value; quoted unless it consists of plain characters. */
const formatValue = (value: unknown): string => {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return /^[\w./:-]+$/.test(text) ? text : JSON.stringify(text);
};

const logfmtLogger = Logger.make(({ logLevel, message, annotations, date }) => {
  const items = Array.isArray(message) ? message : [message];
  const fields: string[] = [];
  for (const item of items.slice(1)) {
    if (typeof item === 'object' && item !== null) {
      for (const [name, value] of Object.entries(item))
        if (value !== undefined) fields.push(`${name}=${formatValue(value)}`);
    } else fields.push(formatValue(item));
  }
  HashMap.forEach(annotations, (value, name) => fields.push(`${name}=${formatValue(value)}`));
  process.stderr.write(
    `${date.toISOString()} ${logLevel.label.toLowerCase()} ${String(items[0])}${fields.length ? ' ' + fields.join(' ') : ''}\n`,
  );
});

/** Fields of a log line; undefined ones are left out. */
export type Fields = Record<string, string | number | boolean | null | undefined>;

/** Returns the layer that logs at the named level; info for an unknown level. */
export const logLayer = (level: string | undefined): Layer.Layer<never> =>
  Layer.merge(
    Logger.replace(Logger.defaultLogger, logfmtLogger),
    Logger.minimumLogLevel(LEVELS[level ?? 'info'] ?? LogLevel.Info),
  );

/** Logs an event at level info. */
export const info = (event: string, fields: Fields = {}) => Effect.logInfo(event, fields);
/** Logs an event at level debug. */
export const debug = (event: string, fields: Fields = {}) => Effect.logDebug(event, fields);
/** Logs an event at level error. */
export const error = (event: string, fields: Fields = {}) => Effect.logError(event, fields);
