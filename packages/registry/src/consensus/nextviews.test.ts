import { expect } from 'chai';
import fc from 'fast-check';
import { NextViews } from './nextviews.js';
import type { View } from './view.js';
import { Views } from './views.js';

const member = (id: string, incarnation = 'b') => ({ id, born: incarnation, addr: `${id}:1` });
type TestMember = ReturnType<typeof member>;
const [a, b, c, d, e] = ['a', 'b', 'c', 'd', 'e'].map((id) => member(id)) as [
  TestMember,
  TestMember,
  TestMember,
  TestMember,
  TestMember,
];
const knowledgeOf = (fresh: readonly TestMember[] = [], emptied: readonly TestMember[] = []) => ({
  fresh: (m: { id: string; born: string }) => fresh.some((x) => Views.sameMember(x, m)),
  emptied: (m: { id: string; born: string }) => emptied.some((x) => Views.sameMember(x, m)),
});
const threeVoters: View = { epoch: 4, voters: [a, b, c], chain: [a, b] };
const joinIds = (list: readonly { id: string }[] | undefined): string => (list ?? []).map((m) => m.id).join('');
const describeView = (view: View | null): string =>
  view
    ? `${view.epoch} ${joinIds(view.chain)} joining:${joinIds(view.joining)} reserve:${joinIds(view.reserve)}`
    : 'none';

describe('The views proposed after a given one', () => {
  const cases: [string, View | null, string][] = [
    [
      'a newcomer is joining, not complete',
      NextViews.withTail(threeVoters, c, knowledgeOf()),
      '5 abc joining:c reserve:',
    ],
    [
      'a removed member is not kept in reserve if enough complete members remain',
      NextViews.withoutMembers({ ...threeVoters, chain: [a, b, c] }, [b], knowledgeOf()),
      '5 ac joining: reserve:',
    ],
    [
      'a removed member is kept in reserve if too few complete members remain',
      NextViews.withoutMembers(threeVoters, [b], knowledgeOf()),
      '5 a joining: reserve:b',
    ],
    [
      'a removed member whose disk is lost is not kept in reserve',
      NextViews.withoutMembers(threeVoters, [b], knowledgeOf([], [b])),
      '5 a joining: reserve:',
    ],
    [
      'a joining member does not count as complete',
      NextViews.withoutMembers({ ...threeVoters, chain: [a, b, c], joining: [c] }, [b], knowledgeOf()),
      '5 ac joining:c reserve:b',
    ],
    [
      'a member that has caught up counts as complete',
      NextViews.withoutMembers({ ...threeVoters, chain: [a, b, c], joining: [c] }, [b], knowledgeOf([c])),
      '5 ac joining: reserve:',
    ],
    [
      'a joining member never becomes the head',
      NextViews.withoutMembers({ ...threeVoters, chain: [a, c], joining: [c] }, [a], knowledgeOf()),
      'none',
    ],
    [
      'the reserve is dropped once enough members are complete',
      NextViews.withoutMembers({ ...threeVoters, chain: [a, c], joining: [c], reserve: [b] }, [], knowledgeOf([c])),
      '5 ac joining: reserve:',
    ],
    [
      'a reserve member becomes the head, and the unavailable complete member goes to the reserve',
      NextViews.withReserveAsHead({ ...threeVoters, chain: [a, c], joining: [c], reserve: [b] }, b, [a], knowledgeOf()),
      '5 bc joining:c reserve:a',
    ],
    [
      'a reserve member does not become the head while a complete member is available',
      NextViews.withReserveAsHead({ ...threeVoters, chain: [a, c], joining: [c], reserve: [b] }, b, [], knowledgeOf()),
      'none',
    ],
    [
      'a member outside the reserve is not promoted to head',
      NextViews.withReserveAsHead({ ...threeVoters, chain: [a] }, b, [a], knowledgeOf()),
      'none',
    ],
    [
      'a member that returns with a lost disk is joining, and its old incarnation is not kept',
      NextViews.withTail(threeVoters, member('b', 'new'), knowledgeOf([], [b])),
      '5 ab joining:b reserve:',
    ],
    [
      'a member that rejoins at another address is kept in reserve for the state it holds',
      NextViews.withTail(threeVoters, { ...b, addr: 'x:2' }, knowledgeOf()),
      '5 ab joining:b reserve:b',
    ],
    [
      'a member that has caught up takes over a vote',
      NextViews.withVoter({ ...threeVoters, chain: [a, b, d], joining: [d] }, d, c, knowledgeOf([d])),
      '5 abd joining: reserve:',
    ],
  ];
  for (const [name, actual, expected] of cases) it(name, () => expect(describeView(actual)).to.equal(expected));

  it('always have a complete head, and keep every holder of committed state while too few members are complete', () => {
    const all = [a, b, c, d, e];
    const some = fc.subarray(all);
    const step = fc.record({
      kind: fc.constantFrom('without', 'withTail', 'withVoter', 'promoting'),
      who: fc.constantFrom(...all),
      list: some,
      fresh: some,
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 12 }), (steps) => {
        let view: View = { epoch: 1, voters: all, chain: all };
        for (const action of steps) {
          const knowledge = knowledgeOf(action.fresh);
          const next =
            action.kind === 'without'
              ? NextViews.withoutMembers(view, action.list, knowledge)
              : action.kind === 'withTail'
                ? NextViews.withTail(view, action.who, knowledge)
                : action.kind === 'withVoter'
                  ? NextViews.withVoter(view, action.who, action.who, knowledge)
                  : NextViews.withReserveAsHead(view, action.who, action.list, knowledge);
          if (!next) continue;
          expect(Views.completeMembers(next).map((m) => m.id)).to.include(Views.head(next).id);
          const holders = [...Views.completeMembers(view), ...(view.reserve ?? [])];
          const replicas = [...Views.completeMembers(next), ...(next.reserve ?? [])];
          if (Views.completeMembers(next).length < Views.majority(next))
            for (const holder of holders)
              expect(
                replicas.some((m) => Views.sameMember(m, holder)),
                holder.id,
              ).to.equal(true);
          view = next;
        }
      }),
      { numRuns: 500 },
    );
  });
});
