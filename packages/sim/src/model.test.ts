import { Random, type Clock } from '@pumicebarrow/forms';
import { expect } from 'chai';
import { Model } from './model.js';

type Deed = string;
const job = { key: 'k', attempt: 1, prefix: 'p', part: 'q', weight: 1, born: 'one', by: 1e9 };
const slip = {
  fence: 3,
  step: 1,
  part: 'prefill' as const,
  stage: 'serving' as const,
  who: 'e1',
  born: 'one',
  by: 1e9,
};

/** A stand-in server whose clocks are set by hand. */
const stand = () => {
  let mono = 0;
  let wall = 0;
  const told: Deed[] = [];
  const naps: number[] = [];
  const clock: Clock = {
    mono: () => mono,
    wall: () => wall,
    after: (ms, fn) => {
      naps.push(ms);
      queueMicrotask(fn);
      return () => undefined;
    },
  };
  const m = Model.make(
    clock,
    Random.seeded(1),
    { id: 'm1', born: 'one', addr: '10.0.0.9:1', slots: 8, hold: 1e9, pace: 1 },
    {
      fetch: (h) => Promise.resolve(m.kv(h.id)),
      took: (p) => told.push(`took ${p}`),
      late: (p) => told.push(`late ${p}`),
      ran: (k, a) => told.push(`ran ${k} ${a}`),
      ordered: (o) => told.push(`ordered ${o.fence}/${o.step}`),
      trick: () => 'none',
    },
  );
  return {
    m,
    told,
    naps,
    pass(a: number, b = a): void {
      mono += a;
      wall += b;
    },
  };
};
const code = (v: unknown): string => (v as { code?: string } | null)?.code ?? 'taken';

describe('A stand-in server turns away, by name and without a trace,', () => {
  const orders: [string, object, string][] = [
    ['an order of an older fence', { fence: 2 }, 'old'],
    ['an order of an older step', { step: 0 }, 'old'],
    ['an order past its bound', { fence: 4, by: 99 }, 'late'],
    ['an order for another life', { fence: 4, born: 'two' }, 'late'],
    ['no order that is newer and in time', { fence: 4, by: 100 }, 'taken'],
  ];
  for (const [name, change, want] of orders) {
    it(name, () => {
      const { m, told, pass } = stand();
      m.order(slip);
      pass(100);
      const before = m.state();
      expect(code(m.order({ ...slip, part: 'decode', ...change }))).to.equal(want);
      if (want === 'taken') return;
      expect(m.state()).to.deep.equal(before);
      expect(told.filter((t) => t.startsWith('ordered'))).to.deep.equal(['ordered 3/1']);
    });
  }
  it('a read past its bound, or for another life', async () => {
    const { m, told, pass } = stand();
    m.order(slip);
    pass(100);
    expect(code(await m.prefill({ ...job, by: 99 }))).to.equal('late');
    expect(code(await m.prefill({ ...job, born: 'two' }))).to.equal('late');
    expect(told).to.deep.equal(['ordered 3/1', 'late prefill', 'late prefill']);
  });
  it('a read that lay in its buffers while its machine was paused with its monotonic clock', async () => {
    const { m, pass } = stand();
    m.order(slip);
    pass(0, 5000);
    expect(code(await m.prefill({ ...job, by: 3000 }))).to.equal('late');
  });
  it('a hand-over past its bound, and one that it has had', async () => {
    const { m, told, pass } = stand();
    m.order(slip);
    const handle = await m.prefill(job);
    m.order({ ...slip, fence: 4, part: 'decode' });
    pass(100);
    if ('code' in handle) throw new Error(handle.code);
    const send = { key: 'k', attempt: 1, handle, pieces: 2, weight: 1, born: 'one' };
    const hear = (): undefined => undefined;
    const decode = async (by: number): Promise<string> => code(await m.decode({ ...send, by }, hear, () => true));
    expect(await decode(99)).to.equal('late');
    expect(await decode(200)).to.equal('taken');
    expect(await decode(200)).to.equal('lapsed');
    expect(told.filter((t) => t.startsWith('ran'))).to.deep.equal(['ran k 1']);
  });
});

describe('A stand-in server with work that may be overtaken', () => {
  /** How long the last of some jobs, begun in one instant, takes to be read. */
  const last = (...urgencies: (number | undefined)[]): number => {
    const s = stand();
    s.m.order(slip);
    urgencies.forEach((urgency, i) => {
      const one = { ...job, key: `k${i}`, prefix: String.fromCharCode(97 + i) };
      void s.m.prefill({ ...one, ...(urgency === undefined ? {} : { urgency }) });
    });
    return s.naps.at(-1)!;
  };
  const some = (n: number, u: number | undefined) => Array.from({ length: n }, () => u);
  const alone = last(undefined);
  it('serves other work as if there were none of it', () => {
    expect(last(...some(20, 0), undefined)).to.equal(alone);
    expect(last(...some(20, 0), ...some(16, undefined))).to.equal(last(...some(16, undefined)));
  });
  it('serves it as fast where it is alone, and by what is left where it is not', () => {
    expect(last(...some(8, 0))).to.equal(alone);
    expect(last(...some(6, undefined), ...some(4, 0))).to.equal(2 * alone);
    expect(last(...some(8, undefined), 0)).to.be.within(2 * alone, 20 * alone);
  });
});
