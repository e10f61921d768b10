import { createMachine, state, transition } from 'robot3';

/**
 * State machine of one request. 'marking': recording in the ledger that it is sent; 'reading': prefill; 'handing':
 * waiting for a decode server; 'writing': decode. Before 'writing' nothing was sent to a decode server, so the request
 * provably has not run. In 'streamed' the client has received a piece, so the answer can only complete or be cut.
 */
export const RequestStateMachine = createMachine('waiting', {
  waiting: state(transition('turn', 'marking'), transition('give', 'refused')),
  marking: state(transition('marked', 'reading'), transition('give', 'refused')),
  reading: state(transition('read', 'handing'), transition('again', 'reading'), transition('give', 'refused')),
  handing: state(transition('send', 'writing'), transition('again', 'reading'), transition('give', 'refused')),
  writing: state(
    transition('piece', 'streamed'),
    transition('unrun', 'handing'),
    transition('lapse', 'reading'),
    transition('whole', 'ended'),
    transition('give', 'unsure'),
  ),
  streamed: state(transition('piece', 'streamed'), transition('whole', 'ended'), transition('give', 'cut')),
  refused: state(),
  unsure: state(),
  cut: state(),
  ended: state(),
});
