import {
  NameIndex,
  Verdicts,
  type FleetConfiguration,
  type Result,
  type NamedRoute,
  type Verdict,
  Err,
  Ok,
} from '@pumicebarrow/forms';
import type { LoadTracker } from './loadtracker.js';
import type { ServerPicker } from './serverpicker.js';
import type { ClientRequest } from './clientrequest.js';
import type { Queue } from './queue.js';

type Dependencies = {
  /** Zone of this daemon. */
  site: string;
  /** Configuration in force; null while this daemon has none. */
  charter: () => FleetConfiguration | null;
  /** Why this daemon accepts no requests at present; null while it accepts them. */
  open: () => Verdict | null;
  /** Whether the backend inventory is recent enough to route by. */
  young: () => boolean;
  queue: ReturnType<typeof Queue.make>;
  choice: ServerPicker;
  loads: ReturnType<typeof LoadTracker.make>;
};
/** Key under which the load of admitted requests that have no server yet is tracked. */
const ADMITTED_LOAD_KEY = '*turn';

/**
 * Admission control. Invariants: a route never has more than `limit` requests in flight nor more than `waitlist`
 * queued; a request is admitted only against prefill capacity that is not reserved for another admitted request.
 */
export const AdmissionControl = {
  make(deps: Dependencies) {
    const index = NameIndex.make();
    const inFlightByRoute: number[] = [];
    const hasRoomFor = (route: NamedRoute): boolean =>
      (inFlightByRoute[index.indexOf(route.name)] ?? 0) < route.limit &&
      deps.choice.hasRoom('prefill', route, ADMITTED_LOAD_KEY);
    return {
      /** The route that serves this request, or the reason for which it is refused. */
      check(request: ClientRequest): Result<NamedRoute, Verdict> {
        const refusal = deps.open();
        if (refusal) return Err(refusal);
        const configuration = deps.charter();
        if (!configuration) return Err(Verdicts.notRun('nocharter', 'No charter is in force yet.', 1));
        const name = request.rule ?? configuration.fallback;
        const route = configuration.rules.find((r) => r.name === name);
        if (!route) return Err(Verdicts.notRun('unknownrule', `There is no rule ${name ?? '(none named)'}.`));
        if (route.sites && !route.sites.includes(deps.site))
          return Err(Verdicts.notRun('othersite', `Rule ${route.name} is not served at ${deps.site}.`));
        if (Buffer.byteLength(request.prefix) + Buffer.byteLength(request.part) > route.bytes)
          return Err(Verdicts.notRun('toolarge', `Rule ${route.name} takes ${route.bytes} bytes at the most.`));
        if (!deps.young()) return Err(Verdicts.notRun('oldlist', "The platform's list is too old to send by.", 1));
        if (deps.choice.usable('prefill').length === 0 || deps.choice.usable('decode').length === 0)
          return Err(Verdicts.notRun('noserver', 'No server can take this now.', 1));
        if (deps.queue.length(route.name) >= route.waitlist)
          return Err(
            Verdicts.notRun(
              'full',
              `The queue of ${route.name} is full.`,
              Math.min(
                15,
                Math.max(1, Math.ceil(Math.max(route.deadline / 2, deps.queue.estimateWaitMs(route.urgency)) / 1000)),
              ),
            ),
          );
        const waitMs = deps.queue.estimateWaitMs(route.urgency);
        if (waitMs > route.deadline)
          return Err(
            Verdicts.notRun(
              'slow',
              `The wait would be about ${Math.round(waitMs / 1000)} s, longer than ${route.name} may wait.`,
              Math.max(1, Math.ceil((waitMs - route.deadline) / 1000)),
            ),
          );
        return Ok(route);
      },
      hasRoom: hasRoomFor,
      /**
       * Counts a request as in flight and reserves prefill capacity for it. `settled` releases the reservation once
       * the request has a server or has failed; `over` ends its count as in flight.
       */
      begin(route: NamedRoute): { settled: () => void; over: () => void } {
        const i = index.indexOf(route.name);
        inFlightByRoute[i] = (inFlightByRoute[i] ?? 0) + 1;
        let counted = true;
        return {
          settled: deps.loads.reserve(ADMITTED_LOAD_KEY, route.weight),
          over: () => {
            if (counted) inFlightByRoute[i] = (inFlightByRoute[i] ?? 1) - 1;
            counted = false;
          },
        };
      },
      /** Number of requests in flight over all routes. */
      inFlight: (): number => inFlightByRoute.reduce((a, b) => a + b, 0),
    };
  },
};
