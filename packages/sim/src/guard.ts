/**
 * One guard of the product, and how it is taken out: `from` is its text in the built `file`, `to` what stands there
 * instead. `drill` is the run that must then break, `never` the rule that must catch it ('core' for the core's own).
 */
export type Guard = {
  name: string;
  about: string;
  file: string;
  from: string;
  to: string;
  drill: string;
  never: string;
  faults?: number;
};
