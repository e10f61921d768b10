import { Intent } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/** The body of the shared document `charter`, which is the configuration in force. Its mark is (version, 0). */
export const CharterBody = Type.Object(
  {
    version: Type.Integer({ minimum: 1 }),
    plan: Type.String(),
    charter: Intent,
  },
  { additionalProperties: false },
);
export type CharterBody = Static<typeof CharterBody>;
