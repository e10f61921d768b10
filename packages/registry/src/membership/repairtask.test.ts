import { expect } from 'chai';
import type { Chain } from '../chain/chain.js';
import type { FailureDetector } from './failuredetector.js';
import type { Member } from './member.js';
import { RepairTask } from './repairtask.js';
import type { ViewChanger } from '../consensus/viewchanger.js';
import type { View } from '../consensus/view.js';

const member = (id: string) => ({ id, born: 'b', addr: `${id}:1` });
const VIEW: View = { epoch: 3, chain: ['k1', 'k2', 'k3'].map(member), voters: ['k1', 'k2', 'k3'].map(member) };

type Observations = {
  live?: (at: number) => boolean;
  deaf?: readonly string[];
  silent?: readonly string[];
  fresh?: readonly string[];
  emptied?: readonly string[];
};
/** The repair task of one member with the given observations of the others, and the views it proposes. */
const setUp = (me: string, observations: Observations) => {
  let now = 0;
  const proposed: View[] = [];
  const detector = {
    holdsLease: () => observations.live?.(now) ?? true,
    silentForMs: (m: Member) => (observations.silent?.includes(m.id) ? 20_000 : 0),
    unansweredForMs: (m: Member) => (observations.deaf?.includes(m.id) ? now : 0),
    lastHeartbeat: (m: Member) => (observations.fresh?.includes(m.id) ? { fresh: true, epoch: VIEW.epoch } : undefined),
    hasLostDisk: (m: Member) => observations.emptied?.includes(m.id) === true,
  };
  const viewChanger = {
    isBusy: () => false,
    propose: (_: unknown, next: View) => Promise.resolve(proposed.push(next) > 0),
  };
  const chain = { resync: () => undefined, fresh: () => false };
  const task = RepairTask.make(
    () => member(me),
    () => now,
    detector as unknown as FailureDetector,
    viewChanger as unknown as ViewChanger,
    chain as unknown as Chain,
  );
  return {
    task,
    proposed,
    runChecks(view: View, ms: number): void {
      for (; now < ms; now += 150) task.checkMembers(view);
    },
  };
};

describe('RepairTask', () => {
  const cases: [string, { live: (at: number) => boolean; me: string; ms: number }, number | null][] = [
    ['proposes nothing while leases are granted', { live: () => true, me: 'k1', ms: 20_000 }, null],
    ['waits for leases for a limited time', { live: (at) => at > 1500, me: 'k1', ms: 20_000 }, null],
    [
      'renews the view if heartbeats arrive from all members but no lease is granted',
      { live: () => false, me: 'k1', ms: 2500 },
      4,
    ],
    ['leaves the renewal to earlier voters at first', { live: () => false, me: 'k3', ms: 2500 }, null],
    ['renews the view if the earlier voters do not', { live: () => false, me: 'k3', ms: 3500 }, 4],
  ];
  for (const [name, { live, me, ms }, expected] of cases) {
    it(name, () => {
      const fixture = setUp(me, { live });
      fixture.runChecks(VIEW, ms);
      expect(fixture.proposed[0]?.epoch ?? null).to.equal(expected);
      if (expected) expect(fixture.proposed[0]!.chain).to.deep.equal(VIEW.chain);
    });
  }

  /** Which members do not answer although their heartbeats arrive, and the chain proposed after `ms`. */
  const unansweredCases: [string, { deaf: readonly string[]; me: string; ms: number }, string[] | null][] = [
    ['keeps a member that did not answer for a short time', { deaf: ['k1'], me: 'k2', ms: 2200 }, null],
    ['removes a head that sends heartbeats but answers none', { deaf: ['k1'], me: 'k2', ms: 2600 }, ['k2', 'k3']],
    [
      'leaves the removal of an unresponsive member to earlier voters at first',
      { deaf: ['k1'], me: 'k3', ms: 2500 },
      null,
    ],
    ['removes no member if no majority answers', { deaf: ['k2', 'k3'], me: 'k1', ms: 20_000 }, null],
  ];
  for (const [name, { deaf, me, ms }, want] of unansweredCases) {
    it(name, () => {
      const fixture = setUp(me, { deaf });
      fixture.runChecks(VIEW, ms);
      expect(fixture.proposed[0]?.chain.map((x) => x.id) ?? null).to.deep.equal(want);
    });
  }

  const [k1, k2, k3] = VIEW.chain as [Member, Member, Member];
  const degradedView: View = { ...VIEW, chain: [k1, k3], joining: [k3], reserve: [k2] };
  const describeView = (v: View | undefined): string | null => {
    const names = (list: readonly Member[] | undefined): string => (list ?? []).map((m) => m.id).join(' ');
    return v ? `${names(v.chain)} | ${names(v.joining)} | ${names(v.reserve)}` : null;
  };
  /** With too few complete members: the member, and the chain, joining members and reserve that it proposes. */
  const degradedCases: [
    string,
    { me: string; fresh?: string[]; silent?: string[]; emptied?: string[] },
    string | null,
  ][] = [
    ['waits until the joining member has caught up', { me: 'k1' }, null],
    [
      'records a joining member as complete once it reports that it has caught up',
      { me: 'k1', fresh: ['k3'] },
      'k1 k3 |  | ',
    ],
    ['leaves recording complete members to the head', { me: 'k3', fresh: ['k3'] }, null],
    ['never makes a joining member the head', { me: 'k3', silent: ['k1', 'k2'] }, null],
    ['makes a reserve member the head if the head is unavailable', { me: 'k3', silent: ['k1'] }, 'k2 k3 | k3 | k1'],
    ['does not keep a head whose disk is lost in reserve', { me: 'k3', emptied: ['k1'] }, 'k2 k3 | k3 | '],
  ];
  for (const [name, { me, ...how }, want] of degradedCases) {
    it(name, () => {
      const fixture = setUp(me, how);
      fixture.runChecks(degradedView, 4000);
      expect(describeView(fixture.proposed[0])).to.equal(want);
    });
  }
  it('takes over from the reserve only once every chain member that could lead is unavailable', () => {
    for (const [silent, want] of [
      [[], null],
      [['k1'], 'k2 k3 | k3 | k1'],
    ] as const) {
      const fixture = setUp('k2', { silent });
      fixture.task.takeOverFromReserve(degradedView);
      expect(describeView(fixture.proposed[0])).to.equal(want);
    }
    const other = setUp('k3', { silent: ['k1'] });
    other.task.takeOverFromReserve(degradedView);
    expect(other.proposed, 'a member outside the reserve').to.deep.equal([]);
  });
  it('proposes to leave only if enough complete members remain', async () => {
    const leaves = async (view: View): Promise<boolean> => setUp('k1', {}).task.leave(view);
    expect(await leaves(VIEW)).to.equal(true);
    expect(await leaves({ ...VIEW, joining: [k3] })).to.equal(false);
    expect(await leaves({ ...VIEW, chain: [k1, k2] })).to.equal(false);
  });
});
