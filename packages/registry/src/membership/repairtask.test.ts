import { Logs } from '@pumicebarrow/forms';
import { expect } from 'chai';
import type { Chain } from '../chain/chain.js';
import type { FailureDetector } from './failuredetector.js';
import type { FaultTolerance } from '../consensus/faulttolerance.js';
import type { Member } from './member.js';
import type { MemberLocation } from './memberlocation.js';
import { VotePlacer } from './voteplacer.js';
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
  tolerance?: FaultTolerance;
  zones?: Readonly<Record<string, MemberLocation>>;
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
    VotePlacer.make(
      observations.tolerance ?? { machines: 1, zones: 0, regions: 0 },
      { locate: (m) => observations.zones?.[m.id] ?? null },
      Logs.silent(),
    ),
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
  /** Members named by their zone and a number; the loss of one zone is tolerated. */
  const inZones = (
    chain: string,
    voters: string,
    { known = chain, ...observations }: Observations & { known?: string } = {},
  ) => {
    const members = (text: string): Member[] => text.split(' ').map(member);
    const view: View = { epoch: 3, chain: members(chain), voters: members(voters) };
    const zones = Object.fromEntries(known.split(' ').map((id) => [id, { zone: id[0]!, region: id[0]! }]));
    const fixture = setUp(chain.split(' ')[0]!, {
      ...{ tolerance: { machines: 1, zones: 1, regions: 0 }, zones, fresh: chain.split(' ') },
      ...observations,
    });
    return { view, fixture };
  };
  const ids = (members: readonly Member[] | undefined): string => (members ?? []).map((m) => m.id).join(' ');
  // Guards against votes of which one zone holds the majority after a repair: its loss would stop the core.
  const transferCases: [string, ReturnType<typeof inZones>, string][] = [
    ['moves a vote out of a zone that holds two of three', inZones('a1 a2 b1 c1', 'a1 a2 b1'), 'c1 a2 b1'],
    ['moves no vote if each zone holds one', inZones('a1 b1 c1 c2', 'a1 b1 c1'), ''],
    ['moves no vote to a member that has not caught up', inZones('a1 a2 b1 c1', 'a1 a2 b1', { fresh: ['b1'] }), ''],
    [
      'moves no vote while it is not known where a voter is',
      inZones('a1 a2 b1 c1', 'a1 a2 b1', { known: 'a1 a2 c1' }),
      '',
    ],
    [
      'gives the vote of a silent member to the one in another zone',
      inZones('a1 b1 b2 c2', 'a1 b1 c1', { silent: ['c1'] }),
      'a1 b1 c2',
    ],
    [
      'gives that vote to a member of a zone with one, if there is no other',
      inZones('a1 b1 b2', 'a1 b1 c1', { silent: ['c1'] }),
      'a1 b1 b2',
    ],
  ];
  for (const [name, { view, fixture }, expected] of transferCases) {
    it(name, () => {
      fixture.runChecks(view, 300);
      expect(ids(fixture.proposed[0]?.voters)).to.equal(expected);
    });
  }
  const newcomerCases: [string, string, string, string, string | null][] = [
    [
      'takes a newcomer that may have a vote in the place of one that has none',
      'a1 a2 b1 b2',
      'a1 a2 b1',
      'c1',
      'a1 a2 b1 c1',
    ],
    ['takes no newcomer without room if it would get no vote', 'a1 b1 c1 b2', 'a1 b1 c1', 'c2', null],
    ['keeps a member that is to get a vote itself', 'a1 a2 b1 c1', 'a1 a2 b1', 'd1', null],
    ['takes a newcomer if there is room', 'a1 a2 b1', 'a1 a2 b1', 'b2', 'a1 a2 b1 b2'],
  ];
  for (const [name, chain, voters, newcomer, expected] of newcomerCases) {
    it(name, () => {
      const { view, fixture } = inZones(chain, voters, { known: `${chain} ${newcomer}` });
      const next = fixture.task.viewWithNewcomer(view, member(newcomer));
      expect(next && ids(next.chain)).to.equal(expected);
      if (next) expect(ids(next.joining)).to.equal(newcomer);
    });
  }
  it('reports once for each view that the machines do not bear a tolerated loss', () => {
    const warnings: string[] = [];
    const placer = VotePlacer.make(
      { machines: 1, zones: 1, regions: 0 },
      { locate: (m) => ({ zone: m.id[0]!, region: 'r' }) },
      { info: () => undefined, warn: (text) => warnings.push(text) },
    );
    const { view } = inZones('a1 a2 b1', 'a1 a2 b1');
    for (let now = 0; now < 60_000; now += 150) placer.warnIfUnbearable(view, now);
    expect(warnings.length).to.equal(1);
    expect(warnings[0]).to.include('a1 in a, a2 in a, b1 in b');
  });
  it('proposes to leave only if enough complete members remain', async () => {
    const leaves = async (view: View): Promise<boolean> => setUp('k1', {}).task.leave(view);
    expect(await leaves(VIEW)).to.equal(true);
    expect(await leaves({ ...VIEW, joining: [k3] })).to.equal(false);
    expect(await leaves({ ...VIEW, chain: [k1, k2] })).to.equal(false);
  });
});
