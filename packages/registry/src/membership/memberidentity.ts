import { Random, Ok, type Result, type World } from '@pumicebarrow/forms';
import type { CoreStore } from '../state/corestore.js';

/**
 * The identity of a control replica: its incarnation is read from disk, or created and written before it sends any
 * message.
 */
export const MemberIdentity = {
  async loadOrCreate(world: World, store: CoreStore, restored: string | null): Promise<Result<string, string>> {
    if (restored !== null) return Ok(restored);
    const incarnation = Random.hexId(world.random);
    const result = await store.saveIdentity(incarnation, true);
    return result.err ? result : Ok(incarnation);
  },
};
