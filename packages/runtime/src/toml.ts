/** Decodes TOML text with a schema. */
import { Either, ParseResult, Schema } from 'effect';
import { parse } from 'smol-toml';

/**
 * Returns a function that decodes TOML text: to the schema's value, or to one line that names the invalid field and the
 * reason. Unknown fields are ignored, or rejected with `exact`, so that a misspelt field is noticed.
 */
export const checkedToml =
  <A, I>(schema: Schema.Schema<A, I>, { exact = false }: { readonly exact?: boolean } = {}) =>
  (text: string): Either.Either<A, string> => {
    let raw: unknown;
    try {
      raw = parse(text);
    } catch (failure) {
      return Either.left(`not TOML: ${(failure as Error).message.split('\n')[0]}`);
    }
    return Schema.decodeUnknownEither(schema, {
      onExcessProperty: exact ? 'error' : 'ignore',
      errors: 'first',
    })(raw).pipe(
      Either.mapLeft((failure) => {
        const issue = ParseResult.ArrayFormatter.formatErrorSync(failure)[0];
        return `${issue?.path.map(String).join('.') || 'file'}: ${issue?.message.replace(/\s+/g, ' ') ?? 'invalid'}`;
      }),
    );
  };
