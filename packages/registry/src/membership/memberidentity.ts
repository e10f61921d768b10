import { Dice, Ok, type Result, type World } from '@pumicebarrow/forms';
import type { Store } from '../state/store.js';

/**
 * The identity of a control replica: its incarnation is read from disk, or created and written before it sends any
 * message.
 */
export const Self = {
  async born(world: World, store: Store, restored: string | null): Promise<Result<string, string>> {
    if (restored !== null) return Ok(restored);
    const incarnation = Dice.word(world.chance);
    const result = await store.saveIdentity(incarnation, true);
    return result.err ? result : Ok(incarnation);
  },
};
