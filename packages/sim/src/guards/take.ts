import type { Guard } from '../guard.js';

/** A guard, in few words. */
export const take = (
  name: string,
  about: string,
  file: string,
  from: string,
  to: string,
  drill: string,
  never: string,
  faults = 14,
): Guard => ({ name, about, file, from, to, drill, never, faults });
