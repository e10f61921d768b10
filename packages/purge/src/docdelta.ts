import { VersionStamp } from '@pumicebarrow/forms';
import { Type, type Static } from 'typebox';

/**
 * A version of a record as a delta against another version: literal texts, and runs of chunks of the version that the
 * requester holds.
 * Invariant: `sum` is the digest of the complete new version; a result with another digest is discarded.
 */
export const DocDelta = Type.Object(
  {
    /** The version stamp of the new version. */
    mark: VersionStamp,
    sum: Type.String(),
    /** Literal texts and runs of chunks: (index of the first chunk, number of chunks). */
    pieces: Type.Array(
      Type.Union([
        Type.String(),
        Type.Tuple([Type.Integer({ minimum: 0 }), Type.Integer({ minimum: 1, maximum: 1_000_000 })]),
      ]),
    ),
  },
  { additionalProperties: false },
);
export type DocDelta = Static<typeof DocDelta>;
