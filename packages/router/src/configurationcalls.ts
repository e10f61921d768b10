import { Err, Hash, Ok, type Result, type Routing, type Verdict } from '@pumicebarrow/forms';
import type { ControlClient } from '@pumicebarrow/registry';

/** How long the head may take to confirm a configuration, and the tail to read it, in ms. */
const WRITE_TIMEOUT_MS = 3500;
const READ_TIMEOUT_MS = 2500;

/**
 * The operator's calls, which any daemon may take: it hands them to the chain's head or tail by its control client.
 * Invariant: what is read is what the tail holds under its lease; nothing is answered from a copy held here.
 */
export const ConfigurationApi = {
  make(controlClient: ControlClient) {
    return {
      /** One configuration takes the place of another in one step; the same one again is told the same again. */
      async replace(base: number, intent: Routing): Promise<Verdict> {
        const id = Hash.of([base, intent.source]);
        const { ruling } = await controlClient.write({ do: 'replace', id, base, intent }, WRITE_TIMEOUT_MS);
        return ruling.verdict;
      },
      async read(): Promise<Result<Routing | null, string>> {
        const current = await controlClient.read(undefined, READ_TIMEOUT_MS);
        if (!current) return Err('The core does not reply; nothing was read.');
        const intent = current.charter?.body ?? null;
        return Ok(intent && 'routes' in intent ? intent : null);
      },
    };
  },
};
