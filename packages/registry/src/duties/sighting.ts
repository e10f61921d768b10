import { Type, type Static } from 'typebox';

/** One daemon saw a server stop replying: the body of the shared doc `sight:<server>`. */
export const Sighting = Type.Object(
  { server: Type.String(), born: Type.String(), by: Type.String() },
  { additionalProperties: false },
);
export type Sighting = Static<typeof Sighting>;
