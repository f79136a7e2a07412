/** Effect's Logger, one logfmt line an event on standard error, at the level LOG_LEVEL names. */
import { Effect, HashMap, Layer, Logger, LogLevel } from 'effect';

const LEVELS: Record<string, LogLevel.LogLevel> = {
  error: LogLevel.Error,
  info: LogLevel.Info,
  debug: LogLevel.Debug,
};

const word = (v: unknown): string => {
  const s = typeof v === 'string' ? v : JSON.stringify(v);
  return /^[\w./:-]+$/.test(s) ? s : JSON.stringify(s);
};

const line = Logger.make(({ logLevel, message, annotations, date }) => {
  const parts = Array.isArray(message) ? message : [message];
  const fields: string[] = [];
  for (const p of parts.slice(1)) {
    if (typeof p === 'object' && p !== null) {
      for (const [k, v] of Object.entries(p)) if (v !== undefined) fields.push(`${k}=${word(v)}`);
    } else fields.push(word(p));
  }
  HashMap.forEach(annotations, (v, k) => fields.push(`${k}=${word(v)}`));
  process.stderr.write(
    `${date.toISOString()} ${logLevel.label.toLowerCase()} ${String(parts[0])}${fields.length ? ' ' + fields.join(' ') : ''}\n`,
  );
});

export type Fields = Record<string, string | number | boolean | null | undefined>;

export const logLayer = (level: string | undefined): Layer.Layer<never> =>
  Layer.merge(
    Logger.replace(Logger.defaultLogger, line),
    Logger.minimumLogLevel(LEVELS[level ?? 'info'] ?? LogLevel.Info),
  );

export const info = (event: string, fields: Fields = {}) => Effect.logInfo(event, fields);
export const debug = (event: string, fields: Fields = {}) => Effect.logDebug(event, fields);
export const error = (event: string, fields: Fields = {}) => Effect.logError(event, fields);
