import { Type } from 'typebox';
import { BurstSpec } from './burstspec.js';

const strict = { additionalProperties: false } as const;
/**
 * Names one attempt of a generation: `mark` numbers its attempts, `turn` the runners that took over the same attempt.
 */
const generationKeys = {
  id: Type.String({ minLength: 1, maxLength: 60 }),
  index: Type.Integer({ minimum: 0 }),
  mark: Type.Integer({ minimum: 1 }),
  turn: Type.Integer({ minimum: 1, maximum: 1000 }),
};

/**
 * Commands on bursts. A `mark` is recorded before a generation's request is sent, a `settle` reports what became of it.
 */
export const BurstCommand = Type.Union([
  Type.Object({ do: Type.Literal('begin'), spec: BurstSpec }, strict),
  Type.Object({ do: Type.Literal('end'), id: Type.String({ minLength: 1, maxLength: 60 }) }, strict),
  Type.Object({ do: Type.Literal('mark'), ...generationKeys, fence: Type.Integer({ minimum: 1 }) }, strict),
  Type.Object(
    {
      do: Type.Literal('settle'),
      ...generationKeys,
      to: Type.Union([Type.Literal('ran'), Type.Literal('unrun'), Type.Literal('unsure')]),
      text: Type.Optional(Type.String({ maxLength: 4096 })),
      count: Type.Optional(Type.Integer({ minimum: 0 })),
      digest: Type.Optional(Type.String({ maxLength: 64 })),
      why: Type.Optional(Type.String({ maxLength: 200 })),
    },
    strict,
  ),
]);
