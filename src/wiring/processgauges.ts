/** What the process takes of its machine, by the names of /metrics. */
export function processGauges(): Record<string, number> {
  const {rss, heapUsed, external} = process.memoryUsage();
  const {user, system} = process.cpuUsage();
  return {
    memory_bytes: rss,
    heap_bytes: heapUsed,
    external_bytes: external,
    cpu_seconds_total: (user + system) / 1e6,
  };
}
