// Embeds parts of the data plane on their own: the request records, the check of answer streams and the request queue.
import { SystemClock } from '@pumicebarrow/forms';
import { Ledger, StreamValidator, Queue } from '@pumicebarrow/counter';

const clock = SystemClock.make();
const ledger = Ledger.make(clock);
console.log('a first try:', ledger.open('k', 1, 'body', false, 'd1'));
console.log('it is sent:', ledger.step('k', 1, 'body', 'sent', 'd1'));
console.log('a second try:', ledger.open('k', 2, 'body', false, 'd2'));

const validator = StreamValidator.make({ key: 'k', attempt: 1, born: 'life-1' });
console.log('piece 1:', validator.check({ key: 'k', attempt: 1, born: 'life-1', n: 1, text: 'yes' }).ok);
console.log('piece 1 again:', validator.check({ key: 'k', attempt: 1, born: 'life-1', n: 1, text: 'yes' }));

const route = (name, urgency) => ({ name, urgency, weight: 1, limit: 9, waitlist: 9, deadline: 1000, pieces: 1, bytes: 1 });
const queue = Queue.make(clock);
for (const r of [route('review', 1), route('verdict', 9)]) void queue.enter(r, clock.mono() + 60_000).turn.then(() => console.log('turn:', r.name));
queue.grantTurns(() => true);
