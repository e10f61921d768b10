import { RendezvousHash, type FleetConfiguration } from '@pumicebarrow/forms';

type Stage = 'prefill' | 'decode';
type LiveServer = { id: string; part: Stage | null };

/**
 * Computes which stage a server should run. Pure, so that every lease holder comes to the same result from the same
 * records. Invariants: no result takes a stage below its floor; at most one server at a time is told to switch.
 */
export const StageTarget = {
  /** The wanted number of prefill servers, limited by the floors of both stages. */
  prefillCount(configuration: FleetConfiguration, wanted: number, live: number): number {
    const max = Math.max(configuration.casting.floor.prefill, live - configuration.casting.floor.decode);
    return Math.min(Math.max(wanted, configuration.casting.floor.prefill), max);
  },
  /** The stage that the server should run; null if it is not live or not configured. */
  stageFor(
    configuration: FleetConfiguration,
    wanted: number,
    live: readonly LiveServer[],
    id: string,
    maySwitch: boolean,
  ): Stage | null {
    const allowedStage = (server: string): Stage | 'either' | null =>
      configuration.servers.find((s) => s.id === server)?.part ?? null;
    const self = live.find((l) => l.id === id),
      allowed = allowedStage(id);
    if (!self || allowed === null) return null;
    if (allowed !== 'either') return allowed;
    const targetCount = StageTarget.prefillCount(configuration, wanted, live.length);
    const ranked = RendezvousHash.rank(
      'cast',
      live.filter((l) => allowedStage(l.id) !== null),
      (l) => l.id,
    );
    const fixedStage = (l: LiveServer): Stage | null => {
      const stage = allowedStage(l.id);
      return stage === 'either' || stage === null ? l.part : stage;
    };
    let prefillCount = ranked.filter((l) => fixedStage(l) === 'prefill').length;
    let planned: Stage | null = self.part;
    // Servers without a stage fill the missing prefill places in order of rank; the others of them run decode.
    for (const l of ranked.filter((x) => fixedStage(x) === null)) {
      const stage: Stage = prefillCount < targetCount ? 'prefill' : 'decode';
      if (stage === 'prefill') prefillCount++;
      if (l.id === id) planned = stage;
    }
    if (self.part === null || !maySwitch || ranked.some((l) => fixedStage(l) === null)) return planned;
    const flexible = ranked.filter((l) => allowedStage(l.id) === 'either');
    if (prefillCount > targetCount)
      return flexible.filter((l) => l.part === 'prefill').at(-1)?.id === id ? 'decode' : self.part;
    if (prefillCount < targetCount) return flexible.find((l) => l.part === 'decode')?.id === id ? 'prefill' : self.part;
    return self.part;
  },
};
