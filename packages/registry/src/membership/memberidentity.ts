import { Dice, Ok, type Result, type World } from '@pumicebarrow/forms';
import type { Store } from '../state/store.js';

/** Who a core daemon is: as its disk remembers, or newly born and so written before it says a word. */
export const Self = {
  async born(world: World, store: Store, kept: string | null): Promise<Result<string, string>> {
    if (kept !== null) return Ok(kept);
    const born = Dice.word(world.chance);
    const done = await store.saveIdentity(born, true);
    return done.err ? done : Ok(born);
  },
};
