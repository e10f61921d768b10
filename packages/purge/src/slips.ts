import { Doc, Ident, Mark, Notice } from '@pumicebarrow/forms';
import { Type } from 'typebox';
import { DocPart } from './docpart.js';
import { PeerDescriptor } from './pointer.js';

const shut = { additionalProperties: false } as const;
const News = Type.Object(
  {
    ids: Type.Array(PeerDescriptor, { maxItems: 64 }),
    notes: Type.Array(Notice, { maxItems: 64 }),
    sum: Type.String(),
  },
  shut,
);

/** The forms of what purge says. */
export const Slips = {
  news: News,
  reply: Type.Object(
    { who: Ident, ids: News.properties.ids, notes: News.properties.notes, sum: News.properties.sum },
    shut,
  ),
  pull: Type.Object({ name: Type.String(), held: Type.Optional(Type.String()) }, shut),
  pulled: Type.Object({ doc: Type.Union([Doc, Type.Null()]), part: Type.Optional(DocPart) }, shut),
  sums: Type.Object({ sums: Type.Array(Type.String(), { minItems: 8, maxItems: 8 }) }, shut),
  marks: Type.Object(
    {
      marks: Type.Array(Type.Object({ name: Type.String(), mark: Mark }, shut)),
      sums: Type.Array(Type.String(), { minItems: 8, maxItems: 8 }),
    },
    shut,
  ),
};
