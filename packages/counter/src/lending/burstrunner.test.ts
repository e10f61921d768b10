import { Verdicts, type FleetConfiguration, type Verdict, type World } from '@pumicebarrow/forms';
import { CoreStateMachine, BurstSummary, BurstShards, type CoreState } from '@pumicebarrow/registry';
import { expect } from 'chai';
import type { ResponseWriter } from '../responsewriter.js';
import type { ClientRequest } from '../clientrequest.js';
import { BurstRunner } from './burstrunner.js';

const rollout = { name: 'rollout', urgency: 0, weight: 1, limit: 9, deadline: 900, pieces: 9, bytes: 900 };
const configuration = { rules: [rollout], lending: { rules: ['rollout'] } } as unknown as FleetConfiguration;
type SentRequest = { request: ClientRequest; writer: ResponseWriter; done: (verdict: Verdict) => void };
const completed = Verdicts.ran('ran', 'x');
const notRun = Verdicts.notRun('late', 'x');

/**
 * A runner in front of the core's real state machine. `replyOverride` replaces the verdict of the next write's reply,
 * `dropSettles` leaves reports of results unanswered, `unreadable` fails reads.
 */
const setup = (samples = 4) => {
  let now = 0;
  let coreState: CoreState = CoreStateMachine.emptyState;
  const write = (command: Parameters<typeof CoreStateMachine.apply>[1]): Verdict => {
    const result = CoreStateMachine.apply(coreState, command);
    coreState = result.state;
    return result.ruling.verdict;
  };
  const begin = (key: string): Verdict =>
    write({ do: 'begin', spec: { key, rule: 'rollout', prompts: [{ prefix: 'p', part: key }], samples, repeats: 0 } });
  const takeLeases = (daemon: string): void => {
    for (const name of BurstShards.leaseNames) write({ do: 'claim', name, id: daemon, born: 'x' });
  };
  takeLeases('e1');
  const state = {
    capacity: 2,
    fence: 1 as number | null,
    replyOverride: null as Verdict | null,
    dropSettles: false,
    unreadable: false,
  };
  const sent: SentRequest[] = [];
  const timers: (() => void)[] = [];
  const runner = BurstRunner.make({
    world: {
      clock: { mono: () => now, after: (_ms: number, fn: () => void) => timers.push(fn) },
      recordEvent: () => undefined,
    } as unknown as World,
    controlClient: {
      bursts: (ask: { key?: string }) =>
        Promise.resolve(
          state.unreadable
            ? null
            : {
                list: (coreState.bursts ?? []).map((b) => BurstSummary.of(b)),
                burst: coreState.bursts?.find((b) => b.spec.key === ask.key) ?? null,
              },
        ),
      write: (command: Parameters<typeof CoreStateMachine.apply>[1]) => {
        if (state.dropSettles && command.do === 'settle') return new Promise(() => undefined);
        const verdict = write(command),
          replyOverride = state.replyOverride;
        state.replyOverride = null;
        return Promise.resolve({ ruling: { verdict: replyOverride ?? verdict }, term: 0, sent: 0 });
      },
    } as never,
    duty: { fence: () => state.fence } as never,
    configuration: () => configuration,
    capacity: () => state.capacity,
    run: (request, writer) => new Promise((done) => sent.push({ request, writer, done })),
  });
  const idle = (): Promise<void> => new Promise((done) => void setTimeout(done, 0));
  return {
    ...{ runner, begin, takeLeases, state, sent, write },
    keys: (): string[] => sent.map((s) => `${s.request.key}/${s.request.attempt}`),
    states: (key = 'a'): string =>
      coreState
        .bursts!.find((b) => b.spec.key === key)!
        .generations.map((g) => g.state)
        .join(' '),
    async read(): Promise<void> {
      await runner.read();
      await idle();
    },
    async finish(i: number, verdict: Verdict, text?: string): Promise<void> {
      if (text !== undefined) {
        sent[i]!.writer.writePiece(1, text);
        sent[i]!.writer.end(1, 'd');
      }
      sent[i]!.done(verdict);
      await idle();
    },
    wait(ms: number): void {
      now += ms;
    },
  };
};

describe('BurstRunner', () => {
  it('starts as many generations as there is capacity for, each once the core has recorded it', async () => {
    const s = setup();
    s.begin('a');
    await s.read();
    expect(s.keys()).to.deep.equal(['a.0.1/1', 'a.1.1/1']);
    expect(s.states()).to.equal('begun begun waiting waiting');
    await s.finish(0, completed, 'text');
    expect(s.keys()).to.deep.equal(['a.0.1/1', 'a.1.1/1', 'a.2.1/1']);
    expect(s.states()).to.equal('ran begun begun waiting');
  });
  it('starts a generation that did not run before any later one, and before any later burst', async () => {
    const s = setup(2);
    s.begin('a');
    s.begin('b');
    await s.read();
    await s.finish(0, notRun);
    expect(s.states()).to.equal('waiting begun');
    s.wait(400);
    await s.read();
    await s.finish(1, completed, 'x');
    await s.finish(2, completed, 'x');
    expect(s.keys()).to.deep.equal(['a.0.1/1', 'a.1.1/1', 'a.0.2/1', 'b.0.1/1', 'b.1.1/1']);
  });
  it('starts nothing later while the core has not accepted that an earlier generation did not run', async () => {
    const s = setup(1);
    s.begin('a');
    s.begin('b');
    s.state.capacity = 1;
    await s.read();
    s.state.dropSettles = true;
    await s.finish(0, notRun);
    s.state.capacity = 2;
    s.wait(400);
    await s.read();
    expect(s.keys()).to.deep.equal(['a.0.1/1']);
  });
  it('still knows after a failed read of the core what did not run and which burst needs a loan', async () => {
    const s = setup(1);
    s.begin('a');
    s.begin('b');
    s.state.capacity = 1;
    await s.read();
    s.state.dropSettles = true;
    await s.finish(0, notRun);
    s.state.unreadable = true;
    await s.read();
    expect(s.runner.need()).to.deep.equal({ burst: 'a', order: 1 });
    s.state.unreadable = false;
    s.state.capacity = 2;
    s.wait(400);
    await s.read();
    expect(s.keys()).to.deep.equal(['a.0.1/1']);
  });
  it('starts nothing without a fencing token, or without capacity', async () => {
    const s = setup();
    s.begin('a');
    s.state.fence = null;
    await s.read();
    s.state.fence = 1;
    s.state.capacity = 0;
    await s.read();
    expect(s.keys()).to.deep.equal([]);
    expect(s.runner.need()).to.deep.equal({ burst: 'a', order: 1 });
  });
  it('sends nothing if the core refused to record the send', async () => {
    const s = setup();
    s.begin('a');
    s.takeLeases('e2');
    for (let i = 0; i < 3; i++) {
      await s.read();
      s.wait(400);
    }
    expect(s.keys()).to.deep.equal([]);
    expect(s.states()).to.equal('waiting waiting waiting waiting');
  });
  it('sends a generation whose recording was not confirmed only once it reads that it was recorded', async () => {
    const s = setup(1);
    s.begin('a');
    s.state.replyOverride = Verdicts.maybeRun('unsure', 'x');
    await s.read();
    expect(s.keys()).to.deep.equal([]);
    s.wait(400);
    await s.read();
    expect(s.keys()).to.deep.equal(['a.0.1/1']);
  });
  it('resumes a generation that another daemon had begun, as the next attempt of the same request', async () => {
    const s = setup(1);
    s.begin('a');
    s.write({ do: 'mark', id: 'a', index: 0, mark: 1, turn: 1, fence: 1 });
    await s.read();
    expect(s.keys()).to.deep.equal(['a.0.1/2']);
    await s.finish(0, Verdicts.maybeRun('unproven', 'x'));
    expect(s.states()).to.equal('unsure');
    expect(s.runner.need()).to.equal(null);
  });
  it('does not start again a generation in progress, however often it reads', async () => {
    const s = setup(1);
    s.begin('a');
    for (let i = 0; i < 5; i++) await s.read();
    expect(s.keys()).to.deep.equal(['a.0.1/1']);
  });
});
