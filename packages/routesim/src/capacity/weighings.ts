import { Hash } from '@pumicebarrow/forms';

/** How many names were weighed for rendezvous while something ran. Invariant: what runs does not wait. */
export const Weighings = {
  of(run: () => void): number {
    const plain = Hash.num;
    let many = 0;
    Hash.num = (s) => {
      many++;
      return plain(s);
    };
    try {
      run();
    } finally {
      Hash.num = plain;
    }
    return many;
  },
};
