import { createMachine, state, transition } from 'robot3';

/**
 * Lifecycle state machine of a counter daemon. Requests are accepted only in 'serving'. After a start, and after the
 * process was suspended ('woke'), the daemon first has to confirm the newest configuration ('asking').
 */
export const DaemonStateMachine = createMachine('starting', {
  starting: state(transition('begin', 'asking'), transition('leave', 'draining')),
  asking: state(transition('sure', 'serving'), transition('leave', 'draining')),
  serving: state(transition('woke', 'asking'), transition('leave', 'draining')),
  draining: state(transition('empty', 'stopped')),
  stopped: state(),
});
