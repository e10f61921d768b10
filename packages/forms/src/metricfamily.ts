/** One metric with its samples. The name of a counter ends in `_total`. */
export type MetricFamily = {
  name: string;
  help: string;
  kind: 'counter' | 'gauge';
  samples: readonly { labels: Readonly<Record<string, string>>; value: number }[];
};
