import { Configuration } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/** The body of the shared document `charter`, which is the configuration in force. Its mark is (version, 0). */
export const ConfigurationBody = Type.Object(
  {
    version: Type.Integer({ minimum: 1 }),
    plan: Type.String(),
    charter: Configuration,
  },
  { additionalProperties: false },
);
export type ConfigurationBody = Static<typeof ConfigurationBody>;
