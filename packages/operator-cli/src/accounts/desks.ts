/** Desks: named sets of teams and classes, in a checked file of the operators'. Only reports know of them. */
import { checkedToml } from '@lilacvalve/runtime/toml';
import { Either, Schema } from 'effect';

const Name = Schema.NonEmptyString;
const File = Schema.Struct({
  desk: Schema.Array(
    Schema.Struct({
      name: Name,
      /** Every class of these teams, unless `classes` names some. */
      teams: Schema.Array(Name).pipe(Schema.minItems(1)),
      classes: Schema.optionalWith(Schema.Array(Name), { default: () => [] }),
    }),
  ),
});
const read = checkedToml(File, { exact: true });

/** The desk of a team's class. */
export type DeskOf = (team: string, jobClass: string) => string;
/** Without a file: each class of each team. */
export const EACH: DeskOf = (team, jobClass) => `${team}/${jobClass}`;

/** The desks of a file, or one line that names the field and what to do. Work that no desk names stays `team/class`. */
export const readDesks = (text: string): Either.Either<DeskOf, string> =>
  Either.flatMap(read(text), ({ desk }): Either.Either<DeskOf, string> => {
    const names = new Set<string>();
    for (const [i, d] of desk.entries()) {
      if (names.has(d.name)) return Either.left(`desk[${i}].name: ${d.name} is there twice: give it another`);
      names.add(d.name);
      for (const other of desk.slice(0, i)) {
        const team = d.teams.find((t) => other.teams.includes(t));
        const both =
          d.classes.length === 0 ||
          other.classes.length === 0 ||
          d.classes.some((c) => other.classes.includes(c));
        if (team !== undefined && both)
          return Either.left(
            `desk[${i}]: ${d.name} and ${other.name} both have work of ${team}: name its classes apart`,
          );
      }
    }
    return Either.right((team, jobClass) => {
      const d = desk.find(
        (x) => x.teams.includes(team) && (x.classes.length === 0 || x.classes.includes(jobClass)),
      );
      return d?.name ?? EACH(team, jobClass);
    });
  });
