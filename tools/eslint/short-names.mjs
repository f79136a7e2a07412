/**
 * ESLint rule: names of one letter are allowed only in scopes of one line. Exceptions are indices, coordinates, type
 * parameters and the parameters of comparison functions.
 */

/** Names of one letter that are allowed in every scope. */
const ALLOWED_NAMES = new Set(['i', 'j', 'k', 'x', 'y', 'z', '_']);

const isOneLine = ({ loc }) => loc.start.line === loc.end.line;

/** Whether the scope is that of a comparison function: its parameters are exactly `a` and `b`. */
const isComparison = ({ block }) =>
  block.params?.length === 2 && block.params[0].name === 'a' && block.params[1].name === 'b';

const isTypeParameter = ({ defs }) => defs.some(({ node }) => node.type === 'TSTypeParameter');

/** The ESLint rule. Reports the declaration of a name that is too short. */
export const shortNames = {
  meta: {
    type: 'suggestion',
    messages: { short: '"{{name}}" is used in a scope of several lines: use a descriptive name.' },
    schema: [],
  },
  create: (context) => ({
    'Program:exit': () => {
      for (const scope of context.sourceCode.scopeManager.scopes) {
        if (isOneLine(scope.block) || isComparison(scope)) continue;
        for (const variable of scope.variables) {
          const [definition] = variable.defs;
          if (definition === undefined || variable.name.length > 1) continue;
          if (ALLOWED_NAMES.has(variable.name) || isTypeParameter(variable)) continue;
          context.report({ node: definition.name, messageId: 'short', data: { name: variable.name } });
        }
      }
    },
  }),
};
