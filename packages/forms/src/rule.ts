import { Type, type Static } from 'typebox';

/** How one kind of request is served. */
export const Rule = Type.Object(
  {
    name: Type.String({ minLength: 1, maxLength: 40 }),
    weight: Type.Number({
      exclusiveMinimum: 0,
      maximum: 1000,
      description: 'how much of a server one request takes, against the others',
    }),
    urgency: Type.Integer({ minimum: 0, maximum: 9, description: '9 is taken from the queue first' }),
    limit: Type.Integer({ minimum: 1, maximum: 10000, description: 'requests under way at once, per daemon' }),
    waitlist: Type.Integer({ minimum: 0, maximum: 10000, description: 'requests that may wait, per daemon' }),
    deadline: Type.Integer({
      minimum: 50,
      maximum: 600000,
      description: 'ms from arrival to the first piece at the latest',
    }),
    pieces: Type.Integer({ minimum: 1, maximum: 100000, description: 'the longest answer, in pieces' }),
    bytes: Type.Integer({ minimum: 1, maximum: 4194304, description: 'the largest prefix and part together' }),
    sites: Type.Optional(Type.Array(Type.String(), { description: 'where it is served; everywhere if left out' })),
  },
  { additionalProperties: false },
);
export type Rule = Static<typeof Rule>;
