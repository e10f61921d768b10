import { expect } from 'chai';
import fc from 'fast-check';
import { NextViews } from './nextviews.js';
import type { View } from './view.js';
import { Views } from './views.js';

const member = (id: string, born = 'b') => ({ id, born, addr: `${id}:1` });
type M = ReturnType<typeof member>;
const [a, b, c, d, e] = ['a', 'b', 'c', 'd', 'e'].map((id) => member(id)) as [M, M, M, M, M];
const know = (fresh: readonly M[] = [], emptied: readonly M[] = []) => ({
  fresh: (m: { id: string; born: string }) => fresh.some((x) => Views.same(x, m)),
  emptied: (m: { id: string; born: string }) => emptied.some((x) => Views.same(x, m)),
});
const three: View = { epoch: 4, voters: [a, b, c], chain: [a, b] };
const ids = (list: readonly { id: string }[] | undefined): string => (list ?? []).map((m) => m.id).join('');
const text = (v: View | null): string =>
  v ? `${v.epoch} ${ids(v.chain)} joining:${ids(v.joining)} reserve:${ids(v.reserve)}` : 'none';

describe('The view that follows', () => {
  const cases: [string, View | null, string][] = [
    ['a newcomer is not complete', NextViews.withTail(three, c, know()), '5 abc joining:c reserve:'],
    [
      'one that goes with enough left is not kept',
      NextViews.without({ ...three, chain: [a, b, c] }, [b], know()),
      '5 ac joining: reserve:',
    ],
    [
      'one that goes with too few left is kept in reserve',
      NextViews.without(three, [b], know()),
      '5 a joining: reserve:b',
    ],
    ['but not if its disk is lost', NextViews.without(three, [b], know([], [b])), '5 a joining: reserve:'],
    [
      'one that is only joining does not count',
      NextViews.without({ ...three, chain: [a, b, c], joining: [c] }, [b], know()),
      '5 ac joining:c reserve:b',
    ],
    [
      'one that has caught up counts',
      NextViews.without({ ...three, chain: [a, b, c], joining: [c] }, [b], know([c])),
      '5 ac joining: reserve:',
    ],
    [
      'one that is joining never leads',
      NextViews.without({ ...three, chain: [a, c], joining: [c] }, [a], know()),
      'none',
    ],
    [
      'the reserve goes once enough are complete',
      NextViews.without({ ...three, chain: [a, c], joining: [c], reserve: [b] }, [], know([c])),
      '5 ac joining: reserve:',
    ],
    [
      'one of the reserve leads, and the complete one that is away takes its place',
      NextViews.promoting({ ...three, chain: [a, c], joining: [c], reserve: [b] }, b, [a], know()),
      '5 bc joining:c reserve:a',
    ],
    [
      'not while a complete member is there',
      NextViews.promoting({ ...three, chain: [a, c], joining: [c], reserve: [b] }, b, [], know()),
      'none',
    ],
    ['nor one that is not of the reserve', NextViews.promoting({ ...three, chain: [a] }, b, [a], know()), 'none'],
    [
      'an emptied member that comes back is joining, and its old life is not kept',
      NextViews.withTail(three, member('b', 'new'), know([], [b])),
      '5 ab joining:b reserve:',
    ],
    [
      'one that moved is kept for what it held',
      NextViews.withTail(three, { ...b, addr: 'x:2' }, know()),
      '5 ab joining:b reserve:b',
    ],
    [
      'a vote goes to one that has caught up',
      NextViews.withVoter({ ...three, chain: [a, b, d], joining: [d] }, d, c, know([d])),
      '5 abd joining: reserve:',
    ],
  ];
  for (const [name, got, want] of cases) it(name, () => expect(text(got)).to.equal(want));

  it('always has a complete head, and keeps all holders while too few are complete', () => {
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
        let v: View = { epoch: 1, voters: all, chain: all };
        for (const s of steps) {
          const known = know(s.fresh);
          const next =
            s.kind === 'without'
              ? NextViews.without(v, s.list, known)
              : s.kind === 'withTail'
                ? NextViews.withTail(v, s.who, known)
                : s.kind === 'withVoter'
                  ? NextViews.withVoter(v, s.who, s.who, known)
                  : NextViews.promoting(v, s.who, s.list, known);
          if (!next) continue;
          expect(Views.complete(next).map((m) => m.id)).to.include(Views.head(next).id);
          const holders = [...Views.complete(v), ...(v.reserve ?? [])];
          const replicas = [...Views.complete(next), ...(next.reserve ?? [])];
          if (Views.complete(next).length < Views.most(next))
            for (const h of holders)
              expect(
                replicas.some((m) => Views.same(m, h)),
                h.id,
              ).to.equal(true);
          v = next;
        }
      }),
      { numRuns: 500 },
    );
  });
});
