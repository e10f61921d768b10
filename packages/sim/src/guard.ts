import { Type, type Static } from 'typebox';

/**
 * One guard of the product, and how it is taken out: `from` is its text in the built `file`, `to` what stands there
 * instead. `drill` is the run that must then break, `never` the rule that must catch it ('core' for the core's own).
 */
export const Guard = Type.Object(
  {
    name: Type.String(),
    about: Type.String(),
    file: Type.String(),
    from: Type.String(),
    to: Type.String(),
    drill: Type.String(),
    never: Type.String(),
    faults: Type.Optional(Type.Integer()),
  },
  { additionalProperties: false },
);
export type Guard = Static<typeof Guard>;
