import { createMachine, state, transition } from 'robot3';

/**
 * The life of one request. Before 'writing' nothing was sent to a decode server, so it can be proven unrun;
 * 'streamed' has given its caller a piece, so from there on it can only end whole or be cut.
 */
export const RequestLife = createMachine('waiting', {
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
