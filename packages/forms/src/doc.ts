import { Type, type Static } from 'typebox';
import { VersionStamp } from './versionstamp.js';

/** One version of one shared record, with its content. Immutable once created. */
export const Doc = Type.Object(
  {
    name: Type.String({ minLength: 1, maxLength: 80 }),
    /** The version stamp. */
    mark: VersionStamp,
    body: Type.Unknown(),
  },
  { additionalProperties: false },
);
export type Doc = Static<typeof Doc>;
