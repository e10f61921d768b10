import type { TSchema } from 'typebox';

/** Any TypeBox schema. */
export type Schema = TSchema;
