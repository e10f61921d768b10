import { Type, type Static } from 'typebox';

/** The sizes of purge. The source's tuned values are the defaults; notice length 3 and the period are ours. */
export const Tunes = Type.Object(
  {
    ids: Type.Integer({ minimum: 2, maximum: 64, default: 10 }),
    notes: Type.Integer({ minimum: 1, maximum: 64, default: 5 }),
    idLength: Type.Integer({ minimum: 1, maximum: 16, default: 1 }),
    noteLength: Type.Integer({ minimum: 1, maximum: 16, default: 3 }),
    round: Type.Integer({ minimum: 20, maximum: 60000, default: 150 }),
    unlike: Type.Integer({
      minimum: 0,
      maximum: 1000,
      default: 3,
      description: 'rounds of unlike digests before ranges are compared; 0 for never',
    }),
  },
  { additionalProperties: false },
);
export type Tunes = Static<typeof Tunes>;
