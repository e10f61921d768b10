import { Err, Hash, Ok, type Result, type Routing, type Verdict } from '@pumicebarrow/forms';
import type { ControlClient } from '@pumicebarrow/registry';

/** How long the head of the chain may take to confirm a configuration. */
const WRITE_TIMEOUT_MS = 3500;
/** How long the tail of the chain may take to return the configuration. */
const READ_TIMEOUT_MS = 2500;

/**
 * Operator API for reading and replacing the configuration. Every daemon offers it and forwards the calls through its
 * control client to the head or tail of the chain. Invariant: a read returns what the tail holds under its lease, never
 * a local copy.
 */
export const ConfigurationApi = {
  make(controlClient: ControlClient) {
    return {
      /**
       * Replaces the configuration of version `base` in one step. Idempotent: the request id is a hash of `base` and
       * the source text, so repeating the call returns the same verdict.
       */
      async replace(base: number, intent: Routing): Promise<Verdict> {
        const id = Hash.ofValue([base, intent.source]);
        const { ruling } = await controlClient.write({ do: 'replace', id, base, intent }, WRITE_TIMEOUT_MS);
        return ruling.verdict;
      },
      /** Reads the current routing configuration from the tail; null if there is none. */
      async read(): Promise<Result<Routing | null, string>> {
        const current = await controlClient.read(undefined, READ_TIMEOUT_MS);
        if (!current) return Err('The core does not reply; nothing was read.');
        const intent = current.charter?.body ?? null;
        return Ok(intent && 'routes' in intent ? intent : null);
      },
    };
  },
};
