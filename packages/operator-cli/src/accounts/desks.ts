/** Desks: named sets of teams and job classes, read from a file that the operators write. Only reports use them. */
import { checkedToml } from '@lilacvalve/runtime/toml';
import { Either, Schema } from 'effect';

const Name = Schema.NonEmptyString;
const File = Schema.Struct({
  desk: Schema.Array(
    Schema.Struct({
      name: Name,
      /** Teams of the desk. The desk has all their classes, unless `classes` lists some. */
      teams: Schema.Array(Name).pipe(Schema.minItems(1)),
      classes: Schema.optionalWith(Schema.Array(Name), { default: () => [] }),
    }),
  ),
});
const readToml = checkedToml(File, { exact: true });

/** Returns the name of the desk that a team's job class belongs to. */
export type DeskOf = (team: string, jobClass: string) => string;
/** Default without a file: each class of each team is a desk of its own. */
export const DESK_PER_CLASS: DeskOf = (team, jobClass) => `${team}/${jobClass}`;

/**
 * Parses a file of desks. The error is one line that names the field and the correction. Work that belongs to no desk is
 * reported as `team/class`.
 */
export const readDesks = (text: string): Either.Either<DeskOf, string> =>
  Either.flatMap(readToml(text), ({ desk }): Either.Either<DeskOf, string> => {
    const names = new Set<string>();
    for (const [i, { name, teams, classes }] of desk.entries()) {
      if (names.has(name)) return Either.left(`desk[${i}].name: duplicate desk name ${name}: choose another`);
      names.add(name);
      for (const other of desk.slice(0, i)) {
        const team = teams.find((candidate) => other.teams.includes(candidate));
        const classesOverlap =
          classes.length === 0 ||
          other.classes.length === 0 ||
          classes.some((jobClass) => other.classes.includes(jobClass));
        if (team !== undefined && classesOverlap)
          return Either.left(
            `desk[${i}]: ${name} and ${other.name} both include work of ${team}: list different classes of the team in each`,
          );
      }
    }
    return Either.right((team, jobClass) => {
      const found = desk.find(
        ({ teams, classes }) => teams.includes(team) && (classes.length === 0 || classes.includes(jobClass)),
      );
      return found?.name ?? DESK_PER_CLASS(team, jobClass);
    });
  });
