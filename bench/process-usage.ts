import {readFileSync} from 'node:fs';

/** Kernel clock ticks a second in `/proc` on Linux. */
const TICKS_PER_SECOND = 100;

/** What a process has used, as the kernel counts it. */
export interface Usage {
  /** Processor time in ms, user and system. */
  cpuMs: number;
  /** Resident memory in MB. */
  residentMb: number;
}

/** Reads the usage of a process from `/proc`. */
export function usageOf(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const resident = /VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? '0';
  return {
    cpuMs: (ticks * 1000) / TICKS_PER_SECOND,
    residentMb: Number(resident) / 1024,
  };
}
