import type { Piece } from './piece.js';

type Id = { at: number };

/**
 * What clients, servers, the platform's list, the operators and whoever brings trouble saw. Invariants: no daemon reads
 * or writes it; one client try has one `id`, and all tries of one wish have one `key`.
 */
export type Seen = Id &
  (
    | { what: 'wish'; key: string }
    | {
        what: 'sent';
        id: string;
        key: string;
        credentials: string;
        router: string;
        life: number;
        path: string;
        kind: 'idempotent' | 'once' | 'stream';
        resumable: boolean;
        service: string;
        after: number;
        total: number;
        due: number;
      }
    | {
        what: 'answered';
        id: string;
        outcome: 'whole' | 'refused' | 'missing' | 'unauthorized' | 'broken' | 'cut' | 'unreached' | 'left';
        pieces: readonly Piece[];
      }
    | {
        what: 'arrived';
        id: string;
        server: string;
        service: string;
        router: string;
        step: 'read' | 'run';
        turned: 'taken' | 'refused' | 'misdirected';
      }
    | {
        what: 'ran';
        id: string;
        server: string;
        service: string;
        router: string;
        /** The tenant that the server was told of, and whether the client's key came with it. */
        tenant: string | null;
        withKey: boolean;
      }
    | { what: 'fetched'; id: string; owner: string }
    | { what: 'spoilt'; id: string; server: string }
    | { what: 'ordered'; server: string; holder: string; fence: number; from: string }
    | { what: 'listed'; server: string; state: 'draining' | 'gone' }
    | { what: 'proposed'; n: number }
    | { what: 'ruled'; n: number; outcome: 'acked' | 'lost' | 'bad' | 'unclear' }
    | { what: 'read'; replica: string; from: number; revision: number }
    | { what: 'readback'; revision: number | null; source: string | null }
    | { what: 'trouble'; kind: string; ids: readonly string[]; until: number; planned: boolean; edges: boolean }
    | { what: 'life'; id: string; up: boolean }
    | { what: 'closed'; back: number }
    | { what: 'end' }
  );
