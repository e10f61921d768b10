import { Intents, Verdicts, type Intent, type Verdict } from '@pumicebarrow/forms';
import type { Command } from '../chain/command.js';
import type { CoreState } from './corestate.js';
import { Bursts } from '../lending/bursts.js';
import type { Plan } from './plan.js';
import type { CommandResult } from '../chain/ruling.js';

type Done = { state: CoreState; ruling: CommandResult };
const KEEP = 200;
const OPEN = 32;

/** The latest are kept; the plan in force and those still open are never among the ones that go. */
const settle = (state: CoreState, plan: Plan): CoreState => {
  const plans = [...state.plans.filter((p) => p.id !== plan.id), plan];
  const stays = (p: Plan): boolean => p.fate === 'open' || p.id === state.charter?.plan;
  const gone = plans.filter((p) => !stays(p)).slice(0, Math.max(0, plans.length - KEEP));
  return { ...state, plans: plans.filter((p) => !gone.includes(p)) };
};
/** Of a plan that is not known: 'no' only while none was ever forgotten. */
const stranger = (state: CoreState, id: string): Verdict =>
  state.plans.length < KEEP
    ? Verdicts.not('unknown', `There is no plan ${id}.`)
    : Verdicts.maybe('forgotten', `Plan ${id} is not among the latest; what became of it is not known any more.`);

/**
 * Whether a replacement over `base` that is not remembered can never have won. One that won is remembered while any
 * over a lower revision is; over a revision that never was in force, or is not yet, none has won.
 */
const never = (state: CoreState, base: number, now: number): boolean =>
  state.plans.length < KEEP || base > now || state.plans.some((p) => p.over !== undefined && p.over <= base);
/** Routes never give way to a charter, nor to routes of an older revision: so no revision is in force twice. */
const older = (now: Intent | undefined, next: Intent): Verdict | null => {
  const revision = Intents.revision(now);
  if (revision === 0 || Intents.revision(next) > revision) return null;
  return Verdicts.bad([{ path: '/revision', why: `must be above ${revision}, which is in force` }]);
};

/** What each command does to the core's state. Pure: the same state and command give the same outcome. */
export const Apply = {
  empty: { seq: 0, charter: null, plans: [], claims: {} } as CoreState,
  one(state: CoreState, c: Command): Done {
    if (c.do === 'begin' || c.do === 'end' || c.do === 'mark' || c.do === 'settle') {
      const was = state.bursts ?? [],
        { bursts, verdict } = Bursts.apply(was, state.claims, c);
      return { state: bursts === was ? state : { ...state, bursts: [...bursts] }, ruling: { verdict } };
    }
    const no = (code: string, why: string, fate?: string): Done => ({
      state,
      ruling: { verdict: Verdicts.not(code, why), ...(fate === undefined ? {} : { fate }) },
    });
    const held = c.do === 'claim' ? undefined : state.plans.find((p) => p.id === c.id);
    const now = state.charter?.version ?? 0;
    switch (c.do) {
      case 'plan': {
        if (held)
          return { state, ruling: { verdict: Verdicts.ran('planned', `Plan ${c.id} is stored.`), fate: held.fate } };
        if (c.base !== now) return no('stale', `The plan is against version ${c.base}; version ${now} is in force.`);
        const bad = older(state.charter?.body, c.charter);
        if (bad) return { state, ruling: { verdict: bad } };
        if (state.plans.filter((p) => p.fate === 'open').length >= OPEN)
          return no('full', 'Too many plans are open; drop some.');
        const next = settle(state, { id: c.id, base: c.base, fate: 'open', charter: c.charter });
        return { state: next, ruling: { verdict: Verdicts.ran('planned', `Plan ${c.id} is stored.`), fate: 'open' } };
      }
      case 'replace': {
        const revision = Intents.revision(state.charter?.body);
        const won = (version: number): CommandResult => ({
          verdict: Verdicts.ran('confirmed', `Replacement ${c.id} is version ${version}.`),
          version,
          fate: 'won',
        });
        if (held?.fate === 'won') return { state, ruling: won(held.version!) };
        if (held) return no('taken', `${c.id} is the name of a plan that is ${held.fate}.`, held.fate);
        if (c.base !== revision && !never(state, c.base, revision))
          return { state, ruling: { verdict: stranger(state, c.id) } };
        if (c.base !== revision)
          return no('lost', `${c.id} is against revision ${c.base}; revision ${revision} is in force.`, 'lost');
        const bad = older(state.charter?.body, c.intent);
        if (bad) return { state, ruling: { verdict: bad } };
        const next = settle(state, { id: c.id, base: now, fate: 'won', version: now + 1, over: revision });
        return {
          state: { ...next, charter: { version: now + 1, plan: c.id, body: c.intent } },
          ruling: won(now + 1),
        };
      }
      case 'confirm': {
        if (!held) return { state, ruling: { verdict: stranger(state, c.id) } };
        if (held.fate === 'won')
          return {
            state,
            ruling: {
              verdict: Verdicts.ran('confirmed', `Plan ${c.id} is version ${held.version}.`),
              version: held.version!,
              fate: 'won',
            },
          };
        if (held.fate !== 'open')
          return no(held.fate, `Plan ${c.id} was ${held.fate}; it will never take hold.`, held.fate);
        if (held.base !== now) {
          const next = settle(state, { id: held.id, base: held.base, fate: 'lost' });
          return {
            state: next,
            ruling: {
              verdict: Verdicts.not('lost', `Plan ${c.id} lost to version ${now}; it will never take hold.`),
              fate: 'lost',
            },
          };
        }
        const next = settle(state, { id: held.id, base: held.base, fate: 'won', version: now + 1 });
        return {
          state: { ...next, charter: { version: now + 1, plan: held.id, body: held.charter! } },
          ruling: {
            verdict: Verdicts.ran('confirmed', `Plan ${c.id} is version ${now + 1}.`),
            version: now + 1,
            fate: 'won',
          },
        };
      }
      case 'drop': {
        if (!held) return { state, ruling: { verdict: stranger(state, c.id) } };
        if (held.fate === 'dropped')
          return { state, ruling: { verdict: Verdicts.ran('dropped', `Plan ${c.id} is dropped.`), fate: 'dropped' } };
        if (held.fate !== 'open') return no(held.fate, `Plan ${c.id} was ${held.fate} before.`, held.fate);
        const next = settle(state, { id: held.id, base: held.base, fate: 'dropped' });
        return {
          state: next,
          ruling: { verdict: Verdicts.ran('dropped', `Plan ${c.id} is dropped.`), fate: 'dropped' },
        };
      }
      case 'claim': {
        const old = state.claims[c.name];
        const fence = (old?.fence ?? 0) + 1;
        const leases = { ...state.claims, [c.name]: { id: c.id, born: c.born, fence } };
        return {
          state: { ...state, claims: leases },
          ruling: { verdict: Verdicts.ran('claimed', `${c.id} holds ${c.name}.`), fence },
        };
      }
    }
  },
};
