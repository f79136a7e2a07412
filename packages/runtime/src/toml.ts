/** Checked TOML: a schema's value, or one line that names the field and the reason. */
import { Either, ParseResult, Schema } from 'effect';
import { parse } from 'smol-toml';

/** Unknown fields are ignored, or refused where `exact` says so: a misspelt field is then not passed over in silence. */
export const checkedToml =
  <A, I>(schema: Schema.Schema<A, I>, { exact = false }: { readonly exact?: boolean } = {}) =>
  (text: string): Either.Either<A, string> => {
    let raw: unknown;
    try {
      raw = parse(text);
    } catch (e) {
      return Either.left(`not TOML: ${(e as Error).message.split('\n')[0]}`);
    }
    return Schema.decodeUnknownEither(schema, {
      onExcessProperty: exact ? 'error' : 'ignore',
      errors: 'first',
    })(raw).pipe(
      Either.mapLeft((e) => {
        const issue = ParseResult.ArrayFormatter.formatErrorSync(e)[0];
        return `${issue?.path.map(String).join('.') || 'file'}: ${issue?.message.replace(/\s+/g, ' ') ?? 'invalid'}`;
      }),
    );
  };
