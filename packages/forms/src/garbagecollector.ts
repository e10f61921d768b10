import { getHeapStatistics, setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

type Collect = (options?: { type: 'minor' }) => void;
let collect: Collect | null = null;
/** V8's own collector. It is reached only when it is needed for the first time, which most processes never do. */
const collector = (): Collect => {
  if (collect) return collect;
  setFlagsFromString('--expose-gc');
  collect = runInNewContext('gc') as Collect;
  return collect;
};

/**
 * Frees buffers that nothing refers to any more. V8 by itself lets 64 MB of them pile up before it looks, which is more
 * than a small machine has to spare.
 */
export const GarbageCollector = {
  /** Collects if the buffers of this process take more than `maxBytes`: first the young ones alone, which is quick. */
  keepBuffersBelow(maxBytes: number): void {
    if (getHeapStatistics().external_memory <= maxBytes) return;
    collector()({ type: 'minor' });
    if (getHeapStatistics().external_memory > maxBytes) collector()();
  },
};
