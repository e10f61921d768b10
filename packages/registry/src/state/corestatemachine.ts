import { Configurations, Verdicts, type Configuration, type Verdict } from '@pumicebarrow/forms';
import type { Command } from '../chain/command.js';
import type { CoreState } from './corestate.js';
import { Bursts } from '../lending/bursts.js';
import type { Plan } from './plan.js';
import type { CommandResult } from '../chain/commandresult.js';

type Outcome = { state: CoreState; ruling: CommandResult };
const MAX_PLANS = 200;
const MAX_OPEN_PLANS = 32;

/** Stores a plan and drops the oldest ones beyond MAX_PLANS, but never the plan in force or an open one. */
const storePlan = (state: CoreState, plan: Plan): CoreState => {
  const plans = [...state.plans.filter((p) => p.id !== plan.id), plan];
  const isRetained = (p: Plan): boolean => p.fate === 'open' || p.id === state.charter?.plan;
  const evicted = plans.filter((p) => !isRetained(p)).slice(0, Math.max(0, plans.length - MAX_PLANS));
  return { ...state, plans: plans.filter((p) => !evicted.includes(p)) };
};
/** The verdict on an unknown plan: 'no' only while no plan was ever dropped, since a dropped one may have won. */
const unknownPlan = (state: CoreState, id: string): Verdict =>
  state.plans.length < MAX_PLANS
    ? Verdicts.notRun('unknown', `There is no plan ${id}.`)
    : Verdicts.maybeRun('forgotten', `Plan ${id} is not among the latest; what became of it is not known any more.`);

/**
 * Whether a replacement of revision `base` that is not recorded can never have won. One that won stays recorded as long
 * as any that replaced a lower revision does; a revision that never was in force, or is not yet, has not been replaced.
 */
const neverWon = (state: CoreState, base: number, currentRevision: number): boolean =>
  state.plans.length < MAX_PLANS ||
  base > currentRevision ||
  state.plans.some((p) => p.over !== undefined && p.over <= base);
/**
 * A routing can be replaced only by a routing of a higher revision, never by a fleet configuration, so no revision is
 * in force twice.
 */
const revisionFault = (currentIntent: Configuration | undefined, nextIntent: Configuration): Verdict | null => {
  const revision = Configurations.revisionOf(currentIntent);
  if (revision === 0 || Configurations.revisionOf(nextIntent) > revision) return null;
  return Verdicts.invalid([{ path: '/revision', why: `must be above ${revision}, which is in force` }]);
};

/** Applies commands to the replicated state. Pure: the same state and command give the same result on every replica. */
export const CoreStateMachine = {
  emptyState: { seq: 0, charter: null, plans: [], claims: {} } as CoreState,
  apply(state: CoreState, command: Command): Outcome {
    if (command.do === 'begin' || command.do === 'end' || command.do === 'mark' || command.do === 'settle') {
      const burstsBefore = state.bursts ?? [],
        { bursts, verdict } = Bursts.apply(burstsBefore, state.claims, command);
      return { state: bursts === burstsBefore ? state : { ...state, bursts: [...bursts] }, ruling: { verdict } };
    }
    const refuse = (code: string, why: string, fate?: string): Outcome => ({
      state,
      ruling: { verdict: Verdicts.notRun(code, why), ...(fate === undefined ? {} : { fate }) },
    });
    const existing = command.do === 'claim' ? undefined : state.plans.find((p) => p.id === command.id);
    const currentVersion = state.charter?.version ?? 0;
    switch (command.do) {
      case 'plan': {
        if (existing)
          return {
            state,
            ruling: { verdict: Verdicts.ran('planned', `Plan ${command.id} is stored.`), fate: existing.fate },
          };
        if (command.base !== currentVersion)
          return refuse('stale', `The plan is against version ${command.base}; version ${currentVersion} is in force.`);
        const fault = revisionFault(state.charter?.body, command.charter);
        if (fault) return { state, ruling: { verdict: fault } };
        if (state.plans.filter((p) => p.fate === 'open').length >= MAX_OPEN_PLANS)
          return refuse('full', 'Too many plans are open; drop some.');
        const next = storePlan(state, { id: command.id, base: command.base, fate: 'open', charter: command.charter });
        return {
          state: next,
          ruling: { verdict: Verdicts.ran('planned', `Plan ${command.id} is stored.`), fate: 'open' },
        };
      }
      case 'replace': {
        const revision = Configurations.revisionOf(state.charter?.body);
        const wonResult = (version: number): CommandResult => ({
          verdict: Verdicts.ran('confirmed', `Replacement ${command.id} is version ${version}.`),
          version,
          fate: 'won',
        });
        if (existing?.fate === 'won') return { state, ruling: wonResult(existing.version!) };
        if (existing)
          return refuse('taken', `${command.id} is the name of a plan that is ${existing.fate}.`, existing.fate);
        if (command.base !== revision && !neverWon(state, command.base, revision))
          return { state, ruling: { verdict: unknownPlan(state, command.id) } };
        if (command.base !== revision)
          return refuse(
            'lost',
            `${command.id} is against revision ${command.base}; revision ${revision} is in force.`,
            'lost',
          );
        const fault = revisionFault(state.charter?.body, command.intent);
        if (fault) return { state, ruling: { verdict: fault } };
        const next = storePlan(state, {
          id: command.id,
          base: currentVersion,
          fate: 'won',
          version: currentVersion + 1,
          over: revision,
        });
        return {
          state: { ...next, charter: { version: currentVersion + 1, plan: command.id, body: command.intent } },
          ruling: wonResult(currentVersion + 1),
        };
      }
      case 'confirm': {
        if (!existing) return { state, ruling: { verdict: unknownPlan(state, command.id) } };
        if (existing.fate === 'won')
          return {
            state,
            ruling: {
              verdict: Verdicts.ran('confirmed', `Plan ${command.id} is version ${existing.version}.`),
              version: existing.version!,
              fate: 'won',
            },
          };
        if (existing.fate !== 'open')
          return refuse(
            existing.fate,
            `Plan ${command.id} was ${existing.fate}; it will never take hold.`,
            existing.fate,
          );
        if (existing.base !== currentVersion) {
          const next = storePlan(state, { id: existing.id, base: existing.base, fate: 'lost' });
          return {
            state: next,
            ruling: {
              verdict: Verdicts.notRun(
                'lost',
                `Plan ${command.id} lost to version ${currentVersion}; it will never take hold.`,
              ),
              fate: 'lost',
            },
          };
        }
        const next = storePlan(state, {
          id: existing.id,
          base: existing.base,
          fate: 'won',
          version: currentVersion + 1,
        });
        return {
          state: { ...next, charter: { version: currentVersion + 1, plan: existing.id, body: existing.charter! } },
          ruling: {
            verdict: Verdicts.ran('confirmed', `Plan ${command.id} is version ${currentVersion + 1}.`),
            version: currentVersion + 1,
            fate: 'won',
          },
        };
      }
      case 'drop': {
        if (!existing) return { state, ruling: { verdict: unknownPlan(state, command.id) } };
        if (existing.fate === 'dropped')
          return {
            state,
            ruling: { verdict: Verdicts.ran('dropped', `Plan ${command.id} is dropped.`), fate: 'dropped' },
          };
        if (existing.fate !== 'open')
          return refuse(existing.fate, `Plan ${command.id} was ${existing.fate} before.`, existing.fate);
        const next = storePlan(state, { id: existing.id, base: existing.base, fate: 'dropped' });
        return {
          state: next,
          ruling: { verdict: Verdicts.ran('dropped', `Plan ${command.id} is dropped.`), fate: 'dropped' },
        };
      }
      case 'claim': {
        const previous = state.claims[command.name];
        const fence = (previous?.fence ?? 0) + 1;
        const leases = { ...state.claims, [command.name]: { id: command.id, born: command.born, fence } };
        return {
          state: { ...state, claims: leases },
          ruling: { verdict: Verdicts.ran('claimed', `${command.id} holds ${command.name}.`), fence },
        };
      }
    }
  },
};
