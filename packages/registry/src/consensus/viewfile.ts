import type { Result } from '@pumicebarrow/forms';
import type { CoreStore } from '../state/corestore.js';
import type { View } from './view.js';

/**
 * The newest view known to a daemon, and whether it is on disk. Writes are serialized; a failed write is repeated on
 * request.
 */
export const ViewFile = {
  make(store: CoreStore, loaded: View | null) {
    let newest = loaded;
    let saved = loaded?.epoch ?? 0;
    let lastWrite: Promise<Result<void, string> | null> = Promise.resolve(null);
    const isSaved = (): boolean => newest === null || saved >= newest.epoch;
    /** Null if there was nothing to write. */
    const write = async (): Promise<Result<void, string> | null> => {
      const view = newest;
      if (!view || isSaved()) return null;
      const result = await store.put('view', view);
      if (result.ok) saved = Math.max(saved, view.epoch);
      return result;
    };
    const enqueueWrite = (): Promise<Result<void, string> | null> => {
      lastWrite = lastWrite.then(write);
      return lastWrite;
    };
    return {
      /** Writes a view that is newer than all before it; returns the fault, or null once the view is on disk. */
      async save(view: View): Promise<string | null> {
        newest = view;
        const result = await enqueueWrite();
        return result?.err ? result.val : null;
      },
      /** Waits for pending writes, repeats a failed one, and returns whether the newest view is on disk. */
      async ensureSaved(): Promise<boolean> {
        if (!isSaved()) await enqueueWrite();
        return isSaved();
      },
    };
  },
};
