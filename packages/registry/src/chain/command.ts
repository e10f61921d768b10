import { Configuration, Routing } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';
import { BurstCommand } from '../lending/burstcommand.js';

const strict = { additionalProperties: false } as const;

/**
 * A command for the head of the chain, named by `do`. `born` is the incarnation of the daemon that asks for a lease.
 */
export const Command = Type.Union([
  Type.Object(
    {
      do: Type.Literal('plan'),
      id: Type.String({ minLength: 1, maxLength: 60 }),
      base: Type.Integer({ minimum: 0 }),
      charter: Configuration,
    },
    strict,
  ),
  Type.Object(
    {
      do: Type.Literal('replace'),
      id: Type.String({ minLength: 1, maxLength: 60, description: "the caller's digest of `base` and `intent`" }),
      base: Type.Integer({ minimum: 0, description: 'the revision in force on which the intent is based; 0 for none' }),
      intent: Routing,
    },
    strict,
  ),
  Type.Object({ do: Type.Literal('confirm'), id: Type.String() }, strict),
  Type.Object({ do: Type.Literal('drop'), id: Type.String() }, strict),
  Type.Object(
    {
      do: Type.Literal('claim'),
      name: Type.String({ minLength: 1, maxLength: 80 }),
      id: Type.String(),
      born: Type.String(),
    },
    strict,
  ),
  ...BurstCommand.anyOf,
]);
export type Command = Static<typeof Command>;
