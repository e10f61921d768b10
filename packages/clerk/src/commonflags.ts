import { Flags } from '@oclif/core';

/** Command-line flags shared by all commands. */
export const CommonFlags = {
  at: Flags.string({
    description: 'IP:PORT of a daemon that serves the operator API; repeatable; default: PUMICEBARROW_AT',
    multiple: true,
    multipleNonGreedy: true,
  }),
  daemon: Flags.string({
    description:
      "IP:PORT of a router's or control replica's daemon protocol; repeatable; default: PUMICEBARROW_DAEMONS",
    multiple: true,
    multipleNonGreedy: true,
    exclusive: ['at'],
  }),
  json: Flags.boolean({ description: 'print the reply as JSON' }),
};
