import { Hash, Verdicts, type Verdict } from '@pumicebarrow/forms';
import type { Static } from 'typebox';
import type { Burst } from './burst.js';
import type { BurstCommand } from './burstcommand.js';
import type { BurstSpec } from './burstspec.js';
import type { Generation } from './generation.js';
import { BurstShards } from './burstshards.js';

type Command = Static<typeof BurstCommand>;
type CommandOf<Kind extends Command['do']> = Extract<Command, { do: Kind }>;
type LeaseFences = Readonly<Record<string, { fence: number }>>;
type Outcome = { bursts: readonly Burst[]; verdict: Verdict };

/** Limits on one burst (generations, bytes of prompts) and on all recorded bursts. */
const LIMITS = {
  generations: 256,
  totalGenerations: 1024,
  promptBytes: 32_768,
  keptBursts: 16,
  forgottenBursts: 64,
};
/** States that a generation never leaves. */
const FINAL_STATES: readonly Generation['state'][] = ['ran', 'unsure', 'dropped'];
const isFinished = (burst: Burst): boolean => burst.generations.every((g) => FINAL_STATES.includes(g.state));

/**
 * What each command does to the recorded bursts. Pure functions, like everything that applies commands to the
 * replicated state.
 */
export const Bursts = {
  isFinished,
  /** Applies a command. Repeating a command that has taken effect succeeds and changes nothing. */
  apply(bursts: readonly Burst[], leases: LeaseFences, command: Command): Outcome {
    const refuse = (code: string, why: string): Outcome => ({ bursts, verdict: Verdicts.notRun(code, why) });
    const acknowledge = (code: string, why: string): Outcome => ({ bursts, verdict: Verdicts.ran(code, why) });
    const burstKey = command.do === 'begin' ? command.spec.key : command.id;
    const existing = bursts.find((b) => b.spec.key === burstKey);
    const replaceBurst = (next: Burst, code: string, why: string): Outcome => ({
      bursts: bursts.map((b) => (b === existing ? next : b)),
      verdict: Verdicts.ran(code, why),
    });

    const begin = (spec: BurstSpec): Outcome => {
      const digest = Hash.ofValue([spec.rule, spec.prompts.map((p) => [p.prefix, p.part]), spec.samples, spec.repeats]),
        generationCount = spec.prompts.length * spec.samples;
      if (existing)
        return existing.digest === digest
          ? acknowledge('begun', `Burst ${burstKey} is begun.`)
          : refuse('otherbody', `The key ${burstKey} was used for another burst.`);
      const promptBytes = spec.prompts.reduce((n, p) => n + Buffer.byteLength(p.prefix) + Buffer.byteLength(p.part), 0);
      if (generationCount > LIMITS.generations || promptBytes > LIMITS.promptBytes)
        return refuse(
          'toolarge',
          `A burst has ${LIMITS.generations} generations and ${LIMITS.promptBytes} bytes of prompts at the most.`,
        );
      const keptBursts = bursts.filter((b) => !b.gone);
      if (
        keptBursts.length >= LIMITS.keptBursts ||
        keptBursts.reduce((n, b) => n + b.generations.length, 0) + generationCount > LIMITS.totalGenerations
      )
        return refuse('full', 'Too many bursts are kept; end those whose outcomes were read.');
      const initial: Generation = { state: 'waiting', mark: 0, turn: 0, repeated: 0 };
      const order = 1 + bursts.reduce((n, b) => Math.max(n, b.order), 0);
      const created: Burst = {
        ...{ spec, digest, order, ended: false, gone: false },
        generations: Array.from({ length: generationCount }, () => initial),
      };
      return { bursts: [...bursts, created], verdict: Verdicts.ran('begun', `Burst ${burstKey} is begun.`) };
    };
    /** Drops the waiting generations. Once none is running, a second `end` also deletes the outcomes. */
    const end = (burst: Burst): Outcome => {
      if (burst.gone) return acknowledge('gone', `Burst ${burstKey} is ended, and its outcomes are gone.`);
      if (!isFinished(burst)) {
        if (burst.ended) return acknowledge('ending', `Burst ${burstKey} is ended; what was begun runs on.`);
        const generations = burst.generations.map((g) =>
          g.state === 'waiting' ? { ...g, state: 'dropped' as const } : g,
        );
        return replaceBurst(
          { ...burst, ended: true, generations },
          'ending',
          `Burst ${burstKey} is ended; what was begun runs on.`,
        );
      }
      const forgotten = {
        ...burst,
        spec: { ...burst.spec, prompts: [{ prefix: '', part: '' }] },
        ended: true,
        gone: true,
        generations: [],
      };
      const remaining = bursts.map((x) => (x === burst ? forgotten : x));
      const surplus = remaining.filter((x) => x.gone).slice(0, -LIMITS.forgottenBursts);
      return {
        bursts: remaining.filter((x) => !surplus.includes(x)),
        verdict: Verdicts.ran('gone', `Burst ${burstKey} is ended, and its outcomes are gone.`),
      };
    };
    const replaceGeneration = (burst: Burst, index: number, generation: Generation, code: string): Outcome =>
      replaceBurst(
        { ...burst, generations: burst.generations.map((x, i) => (i === index ? generation : x)) },
        code,
        `${burstKey} ${index}: ${code}.`,
      );
    const mark = (burst: Burst, generation: Generation, request: CommandOf<'mark'>): Outcome => {
      if (leases[BurstShards.leaseNameOf(burstKey)]?.fence !== request.fence)
        return refuse('fenced', 'Another daemon runs this burst.');
      const isSameMark = generation.state === 'begun' && generation.mark === request.mark;
      if (isSameMark && generation.turn === request.turn && generation.fence === request.fence)
        return acknowledge('marked', `${burstKey} ${request.index} is marked.`);
      const isFirstTurn = generation.state === 'waiting' && request.mark === generation.mark + 1 && request.turn === 1;
      if (!(isFirstTurn || (isSameMark && request.turn === generation.turn + 1)))
        return refuse('stale', `${burstKey} ${request.index} is not as you know it.`);
      return replaceGeneration(
        burst,
        request.index,
        { ...generation, state: 'begun', mark: request.mark, turn: request.turn, fence: request.fence },
        'marked',
      );
    };
    const settle = (burst: Burst, generation: Generation, request: CommandOf<'settle'>): Outcome => {
      const alreadySettled =
        generation.mark === request.mark &&
        ((request.to === 'unrun' && generation.state === 'waiting') || generation.state === request.to);
      if (alreadySettled) return acknowledge('settled', `${burstKey} ${request.index} is settled.`);
      const isCurrentMark =
        generation.state === 'begun' && generation.mark === request.mark && request.turn <= generation.turn;
      if (!isCurrentMark || (request.to !== 'ran' && request.turn !== generation.turn))
        return refuse('stale', `${burstKey} ${request.index} is not as you know it.`);
      const { fence: _fence, ...withoutFence } = generation;
      const reopened = { ...withoutFence, state: burst.ended ? ('dropped' as const) : ('waiting' as const) };
      if (request.to === 'unrun') return replaceGeneration(burst, request.index, reopened, 'settled');
      if (request.to === 'unsure' && generation.repeated < burst.spec.repeats && !burst.ended)
        return replaceGeneration(burst, request.index, { ...reopened, repeated: generation.repeated + 1 }, 'settled');
      const outcome = (({ text, count, digest, why }) => ({ text, count, digest, why }))(request);
      const definedFields = Object.fromEntries(Object.entries(outcome).filter(([, v]) => v !== undefined));
      return replaceGeneration(
        burst,
        request.index,
        { ...withoutFence, ...definedFields, state: request.to },
        'settled',
      );
    };

    if (command.do === 'begin') return begin(command.spec);
    if (!existing) return refuse('unknown', `There is no burst ${burstKey}.`);
    if (command.do === 'end') return end(existing);
    const generation = existing.generations[command.index];
    if (!generation) return refuse('unknown', `Burst ${burstKey} has no generation ${command.index}.`);
    return command.do === 'mark' ? mark(existing, generation, command) : settle(existing, generation, command);
  },
};
