"""Stand-in for a model engine with continuous batching.

It generates numbered placeholder tokens at configured speeds. Directives in
the prompt set the length of the answer, tag its tokens or crash the engine.
"""

import itertools
import json
import re
import secrets
import threading
import time
from dataclasses import dataclass, field

from wasabistream.answers import (
    EVENT_STREAM_TYPE,
    LAST_CHUNK,
    chunk,
    http_head,
)
from wasabistream.streams import CallerStream

CRASH_DIRECTIVE = '[[crash]]'
LENGTH_PATTERN = re.compile(r'\[\[length=(\d+)\]\]')
TAG_PATTERN = re.compile(r'\[\[tag=([\w-]+)\]\]')
DEFAULT_LENGTH_TOKENS = 20
# Characters at the start of a prompt that identify its cached prefix.
CACHED_PREFIX_CHARACTERS = 256
# A write to a reader with more queued bytes cuts its stream.
MAX_QUEUED_STREAM_BYTES = 4 * 1024 * 1024
# A step of a cold engine takes this many times as long.
COLD_SLOWDOWN_FACTOR = 3.0


@dataclass(frozen=True)
class EngineOptions:
    """Hold the capacity, speed and models of an engine stand-in."""

    models: tuple[str, ...] = ('assistant',)
    adapters: tuple[str, ...] = ()
    # Capacity: prompt and generated tokens of all sequences that fit in memory.
    memory_tokens: int = 20000
    # Duration of a step, in which each running sequence gets one token.
    token_seconds: float = 0.038
    prefill_tokens_per_second: float = 20000
    # Above this number of running sequences, steps get proportionally slower.
    full_batch_count: int = 64
    # A cold engine that runs more sequences than this crashes.
    cold_limit_count: int = 4
    # Generated tokens after which a cold engine is warm; 0 means always warm.
    warm_up_tokens: int = 0
    restart_seconds: float = 1.0
    # Whether an order (load a model, change the role) is refused if its fencing
    # token, a number that rises with each order, is below the highest one.
    checks_fencing: bool = True
    prefix_capacity_count: int = 64


@dataclass(eq=False)
class EngineSequence:
    """Hold the state of one attempt to generate an answer."""

    stream_id: str
    # Sequences of a lower number run first and are preempted last.
    priority: int
    arrival_number: int
    prompt_tokens: int
    length_tokens: int
    prefix: str
    is_poison: bool
    output: CallerStream | None
    # Name of the request, repeated in each token so that a check of the
    # history can tell whose token it is.
    tag: str = ''
    # Tokens generated so far.
    generated_count: int = 0
    # Monotonic time at which prefill, or recomputation after a preemption,
    # ends.
    ready_at_seconds: float = 0
    # Monotonic time of the last preemption; 0 unless preempted and waiting.
    preempted_at_seconds: float = 0
    token_texts: list[str] = field(default_factory=list)

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that the sequence occupies in memory."""
        return self.prompt_tokens + self.generated_count


@dataclass
class EngineStatistics:
    """Record what happened in the engine."""

    preemption_count: int = 0
    # Time that preempted sequences spent waiting to run again. Sequences that
    # run while the `stall` command pauses decoding do not count.
    stall_seconds: float = 0
    # Generated tokens of all sequences.
    generated_count: int = 0
    crash_count: int = 0
    cancel_count: int = 0
    # Sequences count as started, and requests as run, once they are accepted,
    # also while they wait.
    started_stream_ids: list[str] = field(default_factory=list)
    # Monotonic time and tag of each request when it was accepted.
    runs: list[tuple[float, str]] = field(default_factory=list)
    # Monotonic times at which a cold engine crashed from overload.
    overloads: list[float] = field(default_factory=list)
    orders: list[dict[str, object]] = field(default_factory=list)


class EngineStandIn:
    """Generate tokens in batched steps within a limited memory."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.statistics = EngineStatistics()
        self.models = list(options.models)
        self.adapters = list(options.adapters)
        self.role = 'decode'
        self.boot_id = secrets.token_hex(4)
        self._lock = threading.RLock()
        self._arrival_numbers = itertools.count()
        self._running: list[EngineSequence] = []
        self._waiting: list[EngineSequence] = []
        self._prefixes: dict[str, None] = {}
        self._tokens_since_cold_count = 0
        self._down_until_seconds = 0.0
        self._highest_fencing_token = 0
        self.versions: dict[str, str] = {}
        # Set by the `stall` command: the engine answers, but decodes nothing.
        # `stall_seconds` is another thing: the waiting time after preemptions.
        self.is_decoding_paused = False

    @property
    def down(self) -> bool:
        """Tell whether the engine is restarting after a crash."""
        return time.monotonic() < self._down_until_seconds

    @property
    def warm(self) -> bool:
        """Tell whether the engine has warmed up to full speed."""
        return self._tokens_since_cold_count >= self.options.warm_up_tokens

    def start(self) -> None:
        """Start the thread that runs the decoding steps."""
        threading.Thread(
            target=self._run_steps, name='decode', daemon=True
        ).start()

    def add_request(self, body: dict, output: CallerStream) -> None:
        """Queue a generation request whose tokens go to `output`."""
        prompt = body['prompt']
        length = LENGTH_PATTERN.search(prompt)
        tag = TAG_PATTERN.search(prompt)
        sequence = EngineSequence(
            # The request id is also the stream id in the path of the stream.
            stream_id=body['request_id'],
            priority=body['priority'],
            arrival_number=next(self._arrival_numbers),
            prompt_tokens=body['prompt_tokens'],
            length_tokens=min(
                int(length.group(1)) if length else DEFAULT_LENGTH_TOKENS,
                body['max_tokens'],
            ),
            prefix=prompt[:CACHED_PREFIX_CHARACTERS],
            is_poison=CRASH_DIRECTIVE in prompt,
            output=output,
            tag=tag.group(1) if tag else '',
        )
        output.write(
            http_head(200, EVENT_STREAM_TYPE, {'Transfer-Encoding': 'chunked'})
        )
        with self._lock:
            self.statistics.started_stream_ids.append(sequence.stream_id)
            self.statistics.runs.append((time.monotonic(), sequence.tag))
            self._waiting.append(sequence)

    def resume(self, stream_id: str, index: int, output: CallerStream) -> bool:
        """Replace a sequence's output; the new one gets tokens from `index` on.

        Returns False if the engine has no such sequence.
        """
        with self._lock:
            sequence = self._find_sequence(stream_id)
            if sequence is None:
                return False
            output.write(
                http_head(
                    200, EVENT_STREAM_TYPE, {'Transfer-Encoding': 'chunked'}
                )
            )
            for number, text in enumerate(sequence.token_texts[index:], index):
                output.write(_format_event(number, text, ''))
            sequence.output = output
            return True

    def cancel(self, stream_id: str) -> None:
        """Cancel a sequence and free its memory."""
        with self._lock:
            sequence = self._find_sequence(stream_id)
            if sequence is None:
                return
            self.statistics.cancel_count += 1
            self._remove_sequence(sequence)
            if sequence.output is not None:
                sequence.output.abort('cancelled')

    def execute_order(self, body: dict) -> bool:
        """Execute an order; return False if its fencing token is outdated."""
        with self._lock:
            if (
                self.options.checks_fencing
                and body['fencing'] < self._highest_fencing_token
            ):
                return False
            self._highest_fencing_token = max(
                self._highest_fencing_token, body['fencing']
            )
            self.statistics.orders.append(body)
            match body['action']:
                case 'load':
                    self.models = [*{*self.models, body['model']}]
                    self.versions[body['model']] = body.get('version', '')
                case 'unload':
                    self.models = [
                        name for name in self.models if name != body['model']
                    ]
                case 'load_adapter':
                    self.adapters = [*{*self.adapters, body['adapter']}]
                case 'role':
                    self.role = body['role']
            return True

    def make_cold(self) -> None:
        """Become cold and clear the prefix cache; running sequences go on."""
        with self._lock:
            self._tokens_since_cold_count = 0
            self._prefixes.clear()

    def crash(self) -> None:
        """Drop all sequences and be down for `restart_seconds`."""
        with self._lock:
            self.statistics.crash_count += 1
            self.boot_id = secrets.token_hex(4)
            self._down_until_seconds = (
                time.monotonic() + self.options.restart_seconds
            )
            for sequence in [*self._running, *self._waiting]:
                if sequence.output is not None:
                    sequence.output.abort('crash')
            self._running.clear()
            self._waiting.clear()
            self.make_cold()

    def state(self) -> dict[str, object]:
        """Return the load, models and statistics of the engine."""
        with self._lock:
            return {
                'memory_used_tokens': self._used_tokens(),
                'memory_capacity_tokens': self.options.memory_tokens,
                'running': len(self._running),
                'waiting': len(self._waiting),
                'models': self.models,
                'adapters': self.adapters,
                'role': self.role,
                'boot_id': self.boot_id,
                'fencing': self._highest_fencing_token,
                'versions': self.versions,
                'prefixes': list(self._prefixes),
                'preemption_count': self.statistics.preemption_count,
                'stall_seconds': self._total_stall_seconds(),
                'generated_count': self.statistics.generated_count,
                'crash_count': self.statistics.crash_count,
                'cancel_count': self.statistics.cancel_count,
                'started_count': len(self.statistics.started_stream_ids),
                'warm': self.warm,
                'down': self.down,
            }

    def _run_steps(self) -> None:
        next_step = time.monotonic()
        while True:
            with self._lock:
                if not self.is_decoding_paused and not self.down:
                    self._step()
                next_step += self._step_seconds()
            now = time.monotonic()
            if next_step < now:
                next_step = now
            time.sleep(next_step - now)

    def _step_seconds(self) -> float:
        batch_ratio = len(self._running) / self.options.full_batch_count
        slowdown = max(1.0, batch_ratio)
        if not self.warm:
            slowdown *= COLD_SLOWDOWN_FACTOR
        return self.options.token_seconds * slowdown

    def _step(self) -> None:
        self._admit_waiting()
        if not self.warm and len(self._running) > self.options.cold_limit_count:
            self.statistics.overloads.append(time.monotonic())
            self.crash()
            return
        now = time.monotonic()
        for sequence in list(self._running):
            if sequence not in self._running or sequence.ready_at_seconds > now:
                continue
            if sequence.is_poison:
                self.crash()
                return
            self._preempt_for(sequence)
            if sequence in self._running:
                self._emit(sequence)

    def _admit_waiting(self) -> None:
        self._waiting.sort(key=_scheduling_key)
        while self._waiting:
            sequence = self._waiting[0]
            free_tokens = self.options.memory_tokens - self._used_tokens()
            if self._running and sequence.memory_tokens >= free_tokens:
                return
            self._waiting.pop(0)
            now = time.monotonic()
            self._record_preemption_end(sequence)
            sequence.ready_at_seconds = now + self._start_prefill(sequence)
            self._running.append(sequence)

    def _record_preemption_end(self, sequence: EngineSequence) -> None:
        if sequence.preempted_at_seconds:
            self.statistics.stall_seconds += (
                time.monotonic() - sequence.preempted_at_seconds
            )
            sequence.preempted_at_seconds = 0

    def _start_prefill(self, sequence: EngineSequence) -> float:
        # Returns the duration of the prefill; also puts the prefix into the
        # cache, which may evict the least recently used one.
        prefill_tokens = sequence.memory_tokens
        if sequence.prefix in self._prefixes:
            # A token stands for about four characters.
            prefill_tokens = max(
                prefill_tokens - CACHED_PREFIX_CHARACTERS // 4, 1
            )
        self._prefixes.pop(sequence.prefix, None)
        self._prefixes[sequence.prefix] = None
        if len(self._prefixes) > self.options.prefix_capacity_count:
            self._prefixes.pop(next(iter(self._prefixes)))
        return prefill_tokens / self.options.prefill_tokens_per_second

    def _preempt_for(self, sequence: EngineSequence) -> None:
        while (
            self._used_tokens() >= self.options.memory_tokens
            and len(self._running) > 1
        ):
            victim = max(self._running, key=_scheduling_key)
            self._running.remove(victim)
            self._waiting.append(victim)
            victim.preempted_at_seconds = time.monotonic()
            self.statistics.preemption_count += 1
            if victim is sequence:
                return

    def _emit(self, sequence: EngineSequence) -> None:
        index = sequence.generated_count
        sequence.generated_count += 1
        self._tokens_since_cold_count += 1
        self.statistics.generated_count += 1
        text = f'{index} '
        if sequence.tag:
            # Identifies one attempt to generate the answer; differs when the
            # request runs again.
            generation = f'{self.boot_id}.{sequence.arrival_number}'
            text = f'{sequence.tag}/{generation}/{index} '
        sequence.token_texts.append(text)
        is_last = sequence.generated_count >= sequence.length_tokens
        output = sequence.output
        if output is not None:
            output.write(_format_event(index, text, 'stop' if is_last else ''))
        if is_last:
            self._remove_sequence(sequence)
            if output is not None:
                output.write(chunk(b'data: [DONE]\n\n') + LAST_CHUNK)
                output.finish()

    def _total_stall_seconds(self) -> float:
        # Adds the preempted sequences that still wait; the recorded time covers
        # those that run again or were cancelled while they waited.
        now = time.monotonic()
        return self.statistics.stall_seconds + sum(
            now - item.preempted_at_seconds
            for item in self._waiting
            if item.preempted_at_seconds
        )

    def _used_tokens(self) -> int:
        return sum(item.memory_tokens for item in self._running)

    def _find_sequence(self, stream_id: str) -> EngineSequence | None:
        for sequence in [*self._running, *self._waiting]:
            if sequence.stream_id == stream_id:
                return sequence
        return None

    def _remove_sequence(self, sequence: EngineSequence) -> None:
        if sequence in self._running:
            self._running.remove(sequence)
        if sequence in self._waiting:
            self._waiting.remove(sequence)
            self._record_preemption_end(sequence)


def _scheduling_key(sequence: EngineSequence) -> tuple[int, int]:
    return (sequence.priority, sequence.arrival_number)


def _format_event(index: int, text: str, finish_reason: str) -> bytes:
    choice = {'index': 0, 'text': text, 'finish_reason': finish_reason or None}
    # The field `sequence` is the position of the token in its stream.
    body = json.dumps({'sequence': index, 'choices': [choice]})
    return chunk(f'data: {body}\n\n'.encode())
