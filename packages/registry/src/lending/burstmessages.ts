import { Type } from 'typebox';
import { View } from '../consensus/view.js';
import { Burst } from './burst.js';
import { BurstSummary } from './burstsummary.js';

const strict = { additionalProperties: false } as const;

/** Schemas for reading bursts from the tail. */
export const BurstMessages = {
  readRequest: Type.Object({ key: Type.Optional(Type.String()), texts: Type.Optional(Type.Boolean()) }, strict),
  readReply: Type.Object(
    {
      ok: Type.Boolean(),
      view: Type.Union([View, Type.Null()]),
      list: Type.Array(BurstSummary.schema),
      burst: Type.Union([Burst, Type.Null()]),
    },
    strict,
  ),
};
