import { Verdicts, type Charter, type Verdict, type World } from '@pumicebarrow/forms';
import { Apply, BurstSummary, Shards, type CoreState } from '@pumicebarrow/registry';
import { expect } from 'chai';
import type { CallerSink } from '../callersink.js';
import type { Request } from '../request.js';
import { Runner } from './runner.js';

const rollout = { name: 'rollout', urgency: 0, weight: 1, limit: 9, deadline: 900, pieces: 9, bytes: 900 };
const charter = { rules: [rollout], lending: { rules: ['rollout'] } } as unknown as Charter;
type Going = { request: Request; sink: CallerSink; done: (v: Verdict) => void };
const ranWhole = Verdicts.ran('ran', 'x');
const unrun = Verdicts.not('late', 'x');

/** A runner over the core's own rulings; `bent` says of a write's reply what is heard instead. */
const rig = (samples = 4) => {
  let now = 0;
  let state: CoreState = Apply.empty;
  const write = (c: Parameters<typeof Apply.one>[1]): Verdict => {
    const d = Apply.one(state, c);
    state = d.state;
    return d.ruling.verdict;
  };
  const begin = (key: string): Verdict =>
    write({ do: 'begin', spec: { key, rule: 'rollout', prompts: [{ prefix: 'p', part: key }], samples, repeats: 0 } });
  const lease = (by: string): void => {
    for (const name of Shards.names) write({ do: 'claim', name, id: by, born: 'x' });
  };
  lease('e1');
  const is = { room: 2, fence: 1 as number | null, bent: null as Verdict | null, mute: false, unread: false };
  const going: Going[] = [];
  const timers: (() => void)[] = [];
  const runner = Runner.make({
    world: {
      clock: { mono: () => now, after: (_ms: number, fn: () => void) => timers.push(fn) },
      tell: () => undefined,
    } as unknown as World,
    line: {
      bursts: (ask: { key?: string }) =>
        Promise.resolve(
          is.unread
            ? null
            : {
                list: (state.bursts ?? []).map((b) => BurstSummary.of(b)),
                burst: state.bursts?.find((b) => b.spec.key === ask.key) ?? null,
              },
        ),
      write: (c: Parameters<typeof Apply.one>[1]) => {
        if (is.mute && c.do === 'settle') return new Promise(() => undefined);
        const verdict = write(c),
          bent = is.bent;
        is.bent = null;
        return Promise.resolve({ ruling: { verdict: bent ?? verdict }, term: 0, sent: 0 });
      },
    } as never,
    duty: { fence: () => is.fence } as never,
    charter: () => charter,
    room: () => is.room,
    run: (request, sink) => new Promise((done) => going.push({ request, sink, done })),
  });
  const calm = (): Promise<void> => new Promise((done) => void setTimeout(done, 0));
  return {
    ...{ runner, begin, lease, is, going, write },
    keys: (): string[] => going.map((g) => `${g.request.key}/${g.request.attempt}`),
    states: (key = 'a'): string =>
      state
        .bursts!.find((b) => b.spec.key === key)!
        .generations.map((g) => g.state)
        .join(' '),
    async read(): Promise<void> {
      await runner.read();
      await calm();
    },
    async end(i: number, v: Verdict, text?: string): Promise<void> {
      if (text !== undefined) {
        going[i]!.sink.piece(1, text);
        going[i]!.sink.end(1, 'd');
      }
      going[i]!.done(v);
      await calm();
    },
    wait(ms: number): void {
      now += ms;
    },
  };
};

describe('The runner of bursts', () => {
  it('begins as many as there is room for, each once its mark is held', async () => {
    const r = rig();
    r.begin('a');
    await r.read();
    expect(r.keys()).to.deep.equal(['a.0.1/1', 'a.1.1/1']);
    expect(r.states()).to.equal('begun begun waiting waiting');
    await r.end(0, ranWhole, 'text');
    expect(r.keys()).to.deep.equal(['a.0.1/1', 'a.1.1/1', 'a.2.1/1']);
    expect(r.states()).to.equal('ran begun begun waiting');
  });
  it('begins one that was given back before any later one, and before any later burst', async () => {
    const r = rig(2);
    r.begin('a');
    r.begin('b');
    await r.read();
    await r.end(0, unrun);
    expect(r.states()).to.equal('waiting begun');
    r.wait(400);
    await r.read();
    await r.end(1, ranWhole, 'x');
    await r.end(2, ranWhole, 'x');
    expect(r.keys()).to.deep.equal(['a.0.1/1', 'a.1.1/1', 'a.0.2/1', 'b.0.1/1', 'b.1.1/1']);
  });
  it('begins nothing later while the core has not taken that an earlier one was given back', async () => {
    const r = rig(1);
    r.begin('a');
    r.begin('b');
    r.is.room = 1;
    await r.read();
    r.is.mute = true;
    await r.end(0, unrun);
    r.is.room = 2;
    r.wait(400);
    await r.read();
    expect(r.keys()).to.deep.equal(['a.0.1/1']);
  });
  it('still knows what it gave back, and what needs a loan, after the core could not be read', async () => {
    const r = rig(1);
    r.begin('a');
    r.begin('b');
    r.is.room = 1;
    await r.read();
    r.is.mute = true;
    await r.end(0, unrun);
    r.is.unread = true;
    await r.read();
    expect(r.runner.need()).to.deep.equal({ burst: 'a', order: 1 });
    r.is.unread = false;
    r.is.room = 2;
    r.wait(400);
    await r.read();
    expect(r.keys()).to.deep.equal(['a.0.1/1']);
  });
  it('begins nothing without a fence, or without room', async () => {
    const r = rig();
    r.begin('a');
    r.is.fence = null;
    await r.read();
    r.is.fence = 1;
    r.is.room = 0;
    await r.read();
    expect(r.keys()).to.deep.equal([]);
    expect(r.runner.need()).to.deep.equal({ burst: 'a', order: 1 });
  });
  it('sends nothing for a mark that was turned away', async () => {
    const r = rig();
    r.begin('a');
    r.lease('e2');
    for (let i = 0; i < 3; i++) {
      await r.read();
      r.wait(400);
    }
    expect(r.keys()).to.deep.equal([]);
    expect(r.states()).to.equal('waiting waiting waiting waiting');
  });
  it('sends for a mark of its own that the core had not said, once it reads it, and no other way', async () => {
    const r = rig(1);
    r.begin('a');
    r.is.bent = Verdicts.maybe('unsure', 'x');
    await r.read();
    expect(r.keys()).to.deep.equal([]);
    r.wait(400);
    await r.read();
    expect(r.keys()).to.deep.equal(['a.0.1/1']);
  });
  it('takes up what another daemon had begun, as the next attempt of the same request', async () => {
    const r = rig(1);
    r.begin('a');
    r.write({ do: 'mark', id: 'a', index: 0, mark: 1, turn: 1, fence: 1 });
    await r.read();
    expect(r.keys()).to.deep.equal(['a.0.1/2']);
    await r.end(0, Verdicts.maybe('unproven', 'x'));
    expect(r.states()).to.equal('unsure');
    expect(r.runner.need()).to.equal(null);
  });
  it('takes nothing up that it has in hand, however often it reads', async () => {
    const r = rig(1);
    r.begin('a');
    for (let i = 0; i < 5; i++) await r.read();
    expect(r.keys()).to.deep.equal(['a.0.1/1']);
  });
});
