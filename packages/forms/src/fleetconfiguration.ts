import { Type, type Static } from 'typebox';
import { Lending } from './lending.js';
import { NamedRoute } from './namedroute.js';

/**
 * The configuration of a fleet whose servers are listed in it and whose routes callers choose by name.
 * Invariant: a configuration in force has passed `ConfigurationValidator.faults`.
 */
export const FleetConfiguration = Type.Object(
  {
    /** The zones. */
    sites: Type.Array(Type.String({ minLength: 1, maxLength: 40 }), { minItems: 1, maxItems: 64 }),
    /** The named routes. */
    rules: Type.Array(NamedRoute, { minItems: 1, maxItems: 64 }),
    fallback: Type.Optional(Type.String({ description: 'the rule for requests that name none' })),
    servers: Type.Array(
      Type.Object(
        {
          id: Type.String({ minLength: 1, maxLength: 60 }),
          /** The zone of the server. */
          site: Type.String(),
          /** The stages that the server can run. */
          part: Type.Union([Type.Literal('prefill'), Type.Literal('decode'), Type.Literal('either')]),
          slots: Type.Integer({ minimum: 1, maximum: 1024 }),
        },
        { additionalProperties: false },
      ),
      { minItems: 1, maxItems: 256 },
    ),
    /** How servers are assigned to stages. */
    casting: Type.Object(
      {
        prefill: Type.Integer({ minimum: 1, description: 'number of servers assigned to prefill initially' }),
        /** The minimum number of servers for each stage. */
        floor: Type.Object(
          { prefill: Type.Integer({ minimum: 1 }), decode: Type.Integer({ minimum: 1 }) },
          { additionalProperties: false },
        ),
        swing: Type.Boolean({ description: 'whether the assignment follows the mix of prefill and decode work' }),
        calm: Type.Integer({
          minimum: 1000,
          maximum: 600000,
          description: 'minimum ms between two changes of the assignment',
        }),
      },
      { additionalProperties: false },
    ),
    lending: Type.Optional(Lending),
  },
  { additionalProperties: false },
);
export type FleetConfiguration = Static<typeof FleetConfiguration>;
