import { Type, type Static } from 'typebox';
import { VersionStamp } from './versionstamp.js';

/** A notice, spread by gossip, that a shared record has a new version. */
export const Notice = Type.Object(
  {
    name: Type.String({ minLength: 1, maxLength: 80 }),
    /** The stamp of the new version, by which versions are ordered. */
    date: VersionStamp,
    /** Monotonic ms since the notice was written, added up hop by hop. */
    age: Type.Number({ minimum: 0 }),
    /** The daemon that wrote the notice. */
    from: Type.String(),
    hops: Type.Integer({ minimum: 0 }),
  },
  { additionalProperties: false },
);
export type Notice = Static<typeof Notice>;
