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
const readToml = checkedToml(File, { exact: true });

/** The desk of a team's class. */
export type DeskOf = (team: string, jobClass: string) => string;
/** Without a file: each class of each team. */
export const EACH_CLASS: DeskOf = (team, jobClass) => `${team}/${jobClass}`;

/** The desks of a file, or one line that names the field and what to do. Work that no desk names stays `team/class`. */
export const readDesks = (text: string): Either.Either<DeskOf, string> =>
  Either.flatMap(readToml(text), ({ desk }): Either.Either<DeskOf, string> => {
    const names = new Set<string>();
    for (const [i, { name, teams, classes }] of desk.entries()) {
      if (names.has(name)) return Either.left(`desk[${i}].name: ${name} is there twice: give it another`);
      names.add(name);
      for (const other of desk.slice(0, i)) {
        const team = teams.find((candidate) => other.teams.includes(candidate));
        const both =
          classes.length === 0 ||
          other.classes.length === 0 ||
          classes.some((jobClass) => other.classes.includes(jobClass));
        if (team !== undefined && both)
          return Either.left(
            `desk[${i}]: ${name} and ${other.name} both have work of ${team}: name its classes apart`,
          );
      }
    }
    return Either.right((team, jobClass) => {
      const found = desk.find(
        ({ teams, classes }) => teams.includes(team) && (classes.length === 0 || classes.includes(jobClass)),
      );
      return found?.name ?? EACH_CLASS(team, jobClass);
    });
  });
