import { expect } from 'chai';
import type { Chain } from '../chain/chain.js';
import type { FailureDetector } from './failuredetector.js';
import type { Member } from './member.js';
import { RepairTask } from './repairtask.js';
import type { ViewChanger } from '../consensus/viewchanger.js';
import type { View } from '../consensus/view.js';

const member = (id: string) => ({ id, born: 'b', addr: `${id}:1` });
const VIEW: View = { epoch: 3, chain: ['k1', 'k2', 'k3'].map(member), voters: ['k1', 'k2', 'k3'].map(member) };

type How = {
  live?: (at: number) => boolean;
  deaf?: readonly string[];
  silent?: readonly string[];
  fresh?: readonly string[];
  emptied?: readonly string[];
};
/** The repair of one member that sees the others as told, and what it proposes. */
const repairing = (me: string, how: How) => {
  let at = 0;
  const proposed: View[] = [];
  const detector = {
    holdsLease: () => how.live?.(at) ?? true,
    silentForMs: (m: Member) => (how.silent?.includes(m.id) ? 20_000 : 0),
    unansweredForMs: (m: Member) => (how.deaf?.includes(m.id) ? at : 0),
    lastHeartbeat: (m: Member) => (how.fresh?.includes(m.id) ? { fresh: true, epoch: VIEW.epoch } : undefined),
    hasLostDisk: (m: Member) => how.emptied?.includes(m.id) === true,
  };
  const viewChanger = {
    isBusy: () => false,
    propose: (_: unknown, next: View) => Promise.resolve(proposed.push(next) > 0),
  };
  const chain = { resync: () => undefined, fresh: () => false };
  const task = RepairTask.make(
    () => member(me),
    () => at,
    detector as unknown as FailureDetector,
    viewChanger as unknown as ViewChanger,
    chain as unknown as Chain,
  );
  return {
    task,
    proposed,
    checkMembers(v: View, ms: number): void {
      for (; at < ms; at += 150) task.checkMembers(v);
    },
  };
};

describe('the repair', () => {
  const cases: [string, { live: (at: number) => boolean; me: string; ms: number }, number | null][] = [
    ['proposes nothing while leases are granted', { live: () => true, me: 'k1', ms: 20_000 }, null],
    ['waits a while for leases', { live: (at) => at > 1500, me: 'k1', ms: 20_000 }, null],
    ['makes the view anew where all are heard and none grants a lease', { live: () => false, me: 'k1', ms: 2500 }, 4],
    ['leaves that to the voters before it first', { live: () => false, me: 'k3', ms: 2500 }, null],
    ['makes it anew if those do not', { live: () => false, me: 'k3', ms: 3500 }, 4],
  ];
  for (const [name, { live, me, ms }, want] of cases) {
    it(name, () => {
      const r = repairing(me, { live });
      r.checkMembers(VIEW, ms);
      expect(r.proposed[0]?.epoch ?? null).to.equal(want);
      if (want) expect(r.proposed[0]!.chain).to.deep.equal(VIEW.chain);
    });
  }

  /** Who leaves its beats without a reply, though all are heard, and the chain proposed after so many ms. */
  const lost: [string, { deaf: readonly string[]; me: string; ms: number }, string[] | null][] = [
    ['leaves in one that did not reply for a moment', { deaf: ['k1'], me: 'k2', ms: 2200 }, null],
    ['takes out a head that speaks but replies to nobody', { deaf: ['k1'], me: 'k2', ms: 2600 }, ['k2', 'k3']],
    ['leaves one that hears nobody to the voters before it first', { deaf: ['k1'], me: 'k3', ms: 2500 }, null],
    ['takes out nobody where no majority replies', { deaf: ['k2', 'k3'], me: 'k1', ms: 20_000 }, null],
  ];
  for (const [name, { deaf, me, ms }, want] of lost) {
    it(name, () => {
      const r = repairing(me, { deaf });
      r.checkMembers(VIEW, ms);
      expect(r.proposed[0]?.chain.map((x) => x.id) ?? null).to.deep.equal(want);
    });
  }

  const [k1, k2, k3] = VIEW.chain as [Member, Member, Member];
  const alone: View = { ...VIEW, chain: [k1, k3], joining: [k3], reserve: [k2] };
  const text = (v: View | undefined): string | null => {
    const names = (list: readonly Member[] | undefined): string => (list ?? []).map((m) => m.id).join(' ');
    return v ? `${names(v.chain)} | ${names(v.joining)} | ${names(v.reserve)}` : null;
  };
  /** With too few complete members: who proposes what of chain, joining and reserve. */
  const few: [string, { me: string; fresh?: string[]; silent?: string[]; emptied?: string[] }, string | null][] = [
    ['waits until the one that joins has caught up', { me: 'k1' }, null],
    ['records that it has, once it says so', { me: 'k1', fresh: ['k3'] }, 'k1 k3 |  | '],
    ['leaves that to the head', { me: 'k3', fresh: ['k3'] }, null],
    ['never lets one lead that is only joining', { me: 'k3', silent: ['k1', 'k2'] }, null],
    ['has one of the reserve lead where the head is away', { me: 'k3', silent: ['k1'] }, 'k2 k3 | k3 | k1'],
    ['and keeps nothing of a head whose disk is lost', { me: 'k3', emptied: ['k1'] }, 'k2 k3 | k3 | '],
  ];
  for (const [name, { me, ...how }, want] of few) {
    it(name, () => {
      const r = repairing(me, how);
      r.checkMembers(alone, 4000);
      expect(text(r.proposed[0])).to.equal(want);
    });
  }
  it('takes over from the reserve only once the whole chain that could lead is away', () => {
    for (const [silent, want] of [
      [[], null],
      [['k1'], 'k2 k3 | k3 | k1'],
    ] as const) {
      const r = repairing('k2', { silent });
      r.task.takeOverFromReserve(alone);
      expect(text(r.proposed[0])).to.equal(want);
    }
    const other = repairing('k3', { silent: ['k1'] });
    other.task.takeOverFromReserve(alone);
    expect(other.proposed, 'one that is not of the reserve').to.deep.equal([]);
  });
  it('leaves in good order only where enough complete members remain', async () => {
    const of = async (v: View): Promise<boolean> => repairing('k1', {}).task.leave(v);
    expect(await of(VIEW)).to.equal(true);
    expect(await of({ ...VIEW, joining: [k3] })).to.equal(false);
    expect(await of({ ...VIEW, chain: [k1, k2] })).to.equal(false);
  });
});
