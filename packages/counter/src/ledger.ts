import type { Clock } from '@pumicebarrow/forms';
import type { Static } from 'typebox';
import type { LedgerEntry } from './ledgerentry.js';
import type { LedgerMessages } from './ledgermessages.js';

type OpenReply = Static<typeof LedgerMessages.openReply>['say'];
const RETENTION_MS = 15 * 60_000;
const MAX_KEYS = 200_000;

/**
 * The owner's side of the request ledger, which prevents a request from running twice. Kept in memory, for the keys
 * that this daemon owns. `open` begins an attempt; `step` moves it on to 'sent', 'closed' or 'ran'.
 */
export const Ledger = {
  make(clock: Clock) {
    const entries = new Map<string, LedgerEntry>();
    const store = (key: string, entry: LedgerEntry): void => {
      entries.delete(key);
      entries.set(key, entry);
      for (const [oldestKey, oldest] of entries) {
        if (entries.size <= MAX_KEYS && clock.mono() - oldest.updatedAtMs < RETENTION_MS) break;
        entries.delete(oldestKey);
      }
    };
    return {
      size: (): number => entries.size,
      get: (key: string): LedgerEntry | undefined => entries.get(key),
      open(key: string, attempt: number, digest: string, proven: boolean, by: string): OpenReply {
        const known = entries.get(key),
          fresh: LedgerEntry = { digest, attempt, state: 'open', by, updatedAtMs: clock.mono() };
        if (!known) {
          if (attempt > 1 && !proven) return 'unknown';
          store(key, fresh);
          return 'ok';
        }
        if (known.digest !== digest) return 'other';
        if (known.state === 'ran') return 'ran';
        if (known.state === 'sent') return 'sent';
        if (attempt < known.attempt) return 'twin';
        if (attempt === known.attempt) return known.state === 'closed' ? 'closed' : 'twin';
        if (attempt > known.attempt + 1 && !proven) return 'unknown';
        store(key, fresh);
        return 'ok';
      },
      step(key: string, attempt: number, digest: string, to: 'sent' | 'closed' | 'ran', by: string): boolean {
        const known = entries.get(key);
        if (to === 'closed' && !known && attempt === 1) {
          store(key, { digest, attempt, state: 'closed', by, updatedAtMs: clock.mono() });
          return true;
        }
        if (!known || known.digest !== digest) return false;
        if (to === 'closed' && attempt === known.attempt + 1 && (known.state === 'closed' || known.state === 'open')) {
          store(key, { digest, attempt, state: 'closed', by, updatedAtMs: clock.mono() });
          return true;
        }
        if (known.attempt !== attempt || (known.by !== by && known.state !== to)) return false;
        const allowed =
          to === 'sent' ? known.state === 'open' : to === 'closed' ? known.state !== 'ran' : known.state === 'sent';
        if (allowed) store(key, { ...known, state: to, updatedAtMs: clock.mono() });
        return allowed;
      },
    };
  },
};
