import { VersionOrder, type Ident, type Messenger, type World } from '@pumicebarrow/forms';
import type { GossipNode } from '@pumicebarrow/purge';
import type { Loan, StageAssignment } from '@pumicebarrow/registry';
import type { DaemonLeases } from '../daemonleases.js';
import type { FleetRecordsView } from '../fleetrecordsview.js';
import type { InventoryView } from '../inventoryview.js';
import { LoanMessages } from './loanmessages.js';
import { SpareCapacity } from './sparecapacity.js';

type Dependencies = {
  world: World;
  post: Messenger;
  /** Configuration and stage assignments. */
  sheet: FleetRecordsView;
  /** Backend inventory. */
  town: InventoryView;
  /** Named leases held by this daemon. */
  duty: DaemonLeases;
  /** Gossip by which loans are published. */
  purge: GossipNode;
  /** Load of the whole fleet by live requests: `read` is prefill, `write` is decode. */
  load: () => { read: number; write: number };
  /** The loan of a server as last published. */
  loan: (server: string) => Loan | null;
  self: () => string;
};
/** `until` is later than the end of the holder's lease; `slots` may be 0 while the holder may still rely on more. */
type Grant = { holder: Ident; burst: string; slots: number; until: number };
type LoanRequest = { requester: string; order: number; at: number };
/** Borrowed requests that may still run although their loan has ended. */
type Residue = { slots: number; until: number };

/** By how much a loan lasts longer at the lender than at its holder. */
const EXPIRY_MARGIN_MS = 200;
/** Time after a revocation in which nothing is lent. */
const REVOCATION_COOLDOWN_MS = 1500;
/** How long a request for a loan counts against requests for later bursts. */
const REQUEST_RETENTION_MS = 1000;
/** How long requests of an ended loan may still run. */
const RESIDUE_MS = 6000;
const REQUEST_TIMEOUT_MS = 300;
const instanceOf = (ident: Ident): string => `${ident.id}/${ident.born}`;

/**
 * Lends the servers whose leases this daemon holds. Invariants: nothing is lent without a fencing token for the server
 * that is valid at that instant; a server has one holder, and another only once that one has given it back or `until`
 * has passed; of the bursts that request a server, the earliest goes first; nothing is lent within
 * REVOCATION_COOLDOWN_MS of a revocation.
 */
export const Lender = {
  make(deps: Dependencies) {
    const grants = new Map<string, Grant>();
    const requests = new Map<string, readonly LoanRequest[]>();
    const cooldownUntil = new Map<string, number>();
    const residues = new Map<string, Residue>();
    const now = (): number => deps.world.clock.mono();
    const fence = (server: string): number | null => deps.duty.fence(`row:${server}`);
    const currentGrant = (server: string): Grant | null => {
      const grant = grants.get(server);
      return grant && grant.until > now() ? grant : null;
    };
    const rows = (): StageAssignment[] =>
      [...deps.sheet.assignments().values()]
        .map((r) => r.assignment)
        .filter((r) => deps.town.findServing(r.server, r.born) !== null);
    const lendableSlots = (server: string): number => {
      const configuration = deps.sheet.configuration(),
        residue = residues.get(server);
      const stillUsed = residue && residue.until > now() ? residue.slots : 0;
      return configuration
        ? Math.max(0, SpareCapacity.slots(configuration, rows(), deps.load(), server) - stillUsed)
        : 0;
    };
    const publish = (server: string, slots: number, holder: string, burst: string, why: Loan['why']): boolean => {
      const fencingToken = fence(server),
        row = deps.sheet.assignments().get(server)?.assignment;
      const mark = fencingToken === null ? null : VersionOrder.next(deps.sheet.stamp(`loan:${server}`), fencingToken);
      if (!mark || !row) return false;
      const { born, part } = row,
        since = deps.world.clock.wall();
      const body: Loan = { server, born, part, slots, holder, burst, why, by: deps.self(), since };
      if (!deps.purge.publish({ name: `loan:${server}`, mark, body })) return false;
      deps.world.recordEvent({ what: 'loan', server, part, slots, holder, burst, why });
      return true;
    };
    /** Ends a loan; `running` is the weight of its requests that may still run. */
    const endLoan = (server: string, why: Loan['why'], running: number): void => {
      const grant = grants.get(server);
      if (!grant) return;
      grants.delete(server);
      if (why === 'lapsed') deps.world.recordEvent({ what: 'lapsed', server, holder: grant.holder.id });
      // If a recalled holder never replied, the residue recorded at the revocation stays in force.
      if (why !== 'lapsed' || grant.slots > 0) residues.set(server, { slots: running, until: now() + RESIDUE_MS });
      if ((deps.loan(server)?.slots ?? 0) > 0) publish(server, 0, grant.holder.id, grant.burst, why);
    };
    /** Stops lending the server at once; another may borrow it once the holder has confirmed or its lease has ended. */
    const revoke = async (server: string, why: 'live' | 'load'): Promise<void> => {
      const grant = currentGrant(server);
      cooldownUntil.set(server, now() + REVOCATION_COOLDOWN_MS);
      if (!grant || grant.slots === 0) return;
      const revokedSlots = grant.slots;
      grants.set(server, { ...grant, slots: 0 });
      residues.set(server, { slots: revokedSlots, until: grant.until + RESIDUE_MS });
      publish(server, 0, grant.holder.id, grant.burst, why);
      const { addr, id } = grant.holder;
      const reply = await deps.post.ask(
        addr,
        id,
        'loan.recall',
        { server },
        LoanMessages.recallReply,
        REQUEST_TIMEOUT_MS,
      );
      if (reply.ok && reply.val.ok && grants.get(server)?.holder === grant.holder)
        endLoan(server, why, reply.val.running);
    };
    const recordRequest = (server: string, requester: string, order: number): readonly LoanRequest[] => {
      const recent = [
        ...(requests.get(server) ?? []).filter((r) => r.requester !== requester && now() - r.at < REQUEST_RETENTION_MS),
        { requester, order, at: now() },
      ];
      requests.set(server, recent);
      return recent;
    };
    deps.post.on('loan.ask', LoanMessages.ask, (request, from) => {
      const refuse = (why: string) => ({ ok: false, slots: 0, term: 0, why });
      const requester = instanceOf(from),
        term = deps.sheet.configuration()?.lending?.length;
      if (fence(request.server) === null || term === undefined) return refuse('notmine');
      if (deps.sheet.assignments().get(request.server)?.assignment.born !== request.born) return refuse('notserving');
      if (grants.has(request.server) && !currentGrant(request.server))
        endLoan(request.server, 'lapsed', grants.get(request.server)!.slots);
      const isEarliest = recordRequest(request.server, requester, request.order).every((r) => r.order >= request.order);
      const grant = currentGrant(request.server);
      if (grant && instanceOf(grant.holder) !== requester) return refuse('held');
      if (!isEarliest) return refuse('older');
      const grantedSlots = grant ? grant.slots : 0;
      const slots = (cooldownUntil.get(request.server) ?? 0) > now() ? 0 : lendableSlots(request.server);
      if (slots === 0) {
        if (grantedSlots > 0) void revoke(request.server, 'load');
        return refuse('nothing');
      }
      const loan = deps.loan(request.server);
      const published =
        loan?.slots === slots && loan.holder === from.id && loan.burst === request.burst && loan.by === deps.self();
      if (!published && !publish(request.server, slots, from.id, request.burst, 'lent')) return refuse('notmine');
      grants.set(request.server, {
        holder: from,
        burst: request.burst,
        slots,
        until: now() + term + EXPIRY_MARGIN_MS,
      });
      return { ok: true, slots, term, why: 'lent' };
    });
    deps.post.on('loan.give', LoanMessages.give, (message, from) => {
      const grant = grants.get(message.server);
      if (!grant || instanceOf(grant.holder) !== instanceOf(from)) return { ok: false };
      endLoan(message.server, 'given', message.running);
      return { ok: true };
    });
    return {
      /** Revokes the loan of a server because live requests would have to wait. */
      recall: (server: string): void => void revoke(server, 'live'),
      /** Publishes the end of expired loans, also those of a previous lender; revokes what live requests need. */
      tick(): void {
        for (const [server, grant] of grants) {
          if (grant.until <= now()) endLoan(server, 'lapsed', grant.slots);
          else if (grant.slots > 0 && lendableSlots(server) === 0) void revoke(server, 'load');
        }
        for (const { assignment: row } of deps.sheet.assignments().values()) {
          const loan = deps.loan(row.server);
          if (loan && loan.slots > 0 && !grants.has(row.server) && fence(row.server) !== null)
            publish(row.server, 0, loan.holder, loan.burst, 'lapsed');
        }
      },
    };
  },
};
