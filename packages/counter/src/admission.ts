import { Indices, Verdicts, type Charter, type Result, type Rule, type Verdict, Err, Ok } from '@pumicebarrow/forms';
import type { Loads } from './loads.js';
import type { Choosing } from './choosing.js';
import type { Request } from './request.js';
import type { Queue } from './queue.js';

type Dependencies = {
  /** Zone of this daemon. */
  site: string;
  /** Configuration in force; null while this daemon has none. */
  charter: () => Charter | null;
  /** Why this daemon accepts no requests at present; null while it accepts them. */
  open: () => Verdict | null;
  /** Whether the backend inventory is recent enough to route by. */
  young: () => boolean;
  queue: ReturnType<typeof Queue.make>;
  choice: Choosing;
  loads: ReturnType<typeof Loads.make>;
};
/** Key under which the load of admitted requests that have no server yet is tracked. */
const ADMITTED_LOAD_KEY = '*turn';

/**
 * Admission control. Invariants: a route never has more than `limit` requests in flight nor more than `waitlist`
 * queued; a request is admitted only against prefill capacity that is not reserved for another admitted request.
 */
export const Admission = {
  make(deps: Dependencies) {
    const index = Indices.make();
    const inFlightByRoute: number[] = [];
    const hasRoomFor = (route: Rule): boolean =>
      (inFlightByRoute[index.of(route.name)] ?? 0) < route.limit &&
      deps.choice.roomy('prefill', route, ADMITTED_LOAD_KEY);
    return {
      /** The route that serves this request, or the reason for which it is refused. */
      check(request: Request): Result<Rule, Verdict> {
        const refusal = deps.open();
        if (refusal) return Err(refusal);
        const configuration = deps.charter();
        if (!configuration) return Err(Verdicts.not('nocharter', 'No configuration is in force yet.', 1));
        const name = request.rule ?? configuration.fallback;
        const route = configuration.rules.find((r) => r.name === name);
        if (!route) return Err(Verdicts.not('unknownrule', `There is no rule ${name ?? '(none named)'}.`));
        if (route.sites && !route.sites.includes(deps.site))
          return Err(Verdicts.not('othersite', `Rule ${route.name} is not served in zone ${deps.site}.`));
        if (Buffer.byteLength(request.prefix) + Buffer.byteLength(request.part) > route.bytes)
          return Err(Verdicts.not('toolarge', `Rule ${route.name} accepts at most ${route.bytes} bytes.`));
        if (!deps.young()) return Err(Verdicts.not('oldlist', "The platform's list of servers is out of date.", 1));
        if (deps.choice.usable('prefill').length === 0 || deps.choice.usable('decode').length === 0)
          return Err(Verdicts.not('noserver', 'No usable prefill or decode server is available.', 1));
        if (deps.queue.length(route.name) >= route.waitlist)
          return Err(
            Verdicts.not(
              'full',
              `The queue of rule ${route.name} is full.`,
              Math.min(
                15,
                Math.max(1, Math.ceil(Math.max(route.deadline / 2, deps.queue.foresee(route.urgency)) / 1000)),
              ),
            ),
          );
        const waitMs = deps.queue.foresee(route.urgency);
        if (waitMs > route.deadline)
          return Err(
            Verdicts.not(
              'slow',
              `The estimated wait of ${Math.round(waitMs / 1000)} s exceeds the deadline of rule ${route.name}.`,
              Math.max(1, Math.ceil((waitMs - route.deadline) / 1000)),
            ),
          );
        return Ok(route);
      },
      room: hasRoomFor,
      /**
       * Counts a request as in flight and reserves prefill capacity for it. `settled` releases the reservation once
       * the request has a server or has failed; `over` ends its count as in flight.
       */
      begin(route: Rule): { settled: () => void; over: () => void } {
        const i = index.of(route.name);
        inFlightByRoute[i] = (inFlightByRoute[i] ?? 0) + 1;
        let counted = true;
        return {
          settled: deps.loads.take(ADMITTED_LOAD_KEY, route.weight),
          over: () => {
            if (counted) inFlightByRoute[i] = (inFlightByRoute[i] ?? 1) - 1;
            counted = false;
          },
        };
      },
      /** Number of requests in flight over all routes. */
      under: (): number => inFlightByRoute.reduce((a, b) => a + b, 0),
    };
  },
};
