"""Case 3: a refusal promises that a repeat is harmless, and asks for it after the window."""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from harness import CannotRun, Program, Reader, Server, TROUBLE, accepts, free_port, play, wait_until

WINDOW_S = 5.0
# The member dies this long after it has begun to run the order, and is up again after the outage.
WORK_S = 4.5
OUTAGE_S = 0.7
MAX_TRIES = 4

FILE = """
[instance]
name = "shop-proxy"

[[listener]]
name = "public"
address = "127.0.0.1:{port}"

[[pool]]
name = "orders"
members = [{{ name = "a", address = "{member}" }}]

[[class]]
name = "order"
effect = "keyed"
window = "5s"
scope = "all"
aim = "1s"
deadline = "10s"

[[route]]
path = "/orders"
methods = ["POST"]
class = "order"
pool = "orders"
"""


class Member:
    """Runs an order when it has come whole, and drops repeats of its key for the window, counted
    from the first. What it knows of keys outlives its process."""

    def __init__(self, record):
        self.record = record
        self.seen = {}
        self.runs = []
        self.lock = threading.Lock()
        self.server = Server(self.serve)

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            _, headers = reader.head()
            reader.body(headers)
            key = headers["idempotency-key"]
            with self.lock:
                now = time.monotonic()
                is_repeat = key in self.seen and now - self.seen[key] < WINDOW_S
                if not is_repeat:
                    self.seen[key] = now
                    self.runs.append(now)
                is_first = not is_repeat and len(self.runs) == 1
            self.record.line("member: %s key %s" % ("drops a repeat of" if is_repeat else "RUNS", key))
            if is_first:
                time.sleep(WORK_S)
            if is_first and TROUBLE:
                self.record.line("member: its process dies; its connections break and its port refuses")
                self.server.crash()
                threading.Timer(OUTAGE_S, self.restart).start()
                return
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")

    def restart(self):
        self.server.open()
        self.record.line("member: is up again")


def order(port, key, record):
    """Sends an order and returns the status, and the wait that the answer asks for in seconds."""
    with socket.create_connection(("127.0.0.1", port), 5) as sock:
        sock.settimeout(15)
        record.line("client: sends the order with key %s" % key)
        sock.sendall((
            "POST /orders HTTP/1.1\r\nHost: shop.example\r\nIdempotency-Key: %s\r\nContent-Length: 2\r\n\r\nhi"
            % key).encode())
        reader = Reader(sock)
        first, headers = reader.head()
        body = reader.body(headers)
    told = {name: headers[name] for name in ("retry-after", "proxy-status") if name in headers}
    record.line("client: is answered %s %r %r" % (first, told, body))
    return int(first.split()[1]), float(headers.get("retry-after", "0")), headers.get("proxy-status", "")


def case(record, scratch, programs):
    member = Member(record)
    port = free_port()
    file = os.path.join(scratch, "shop.toml")
    with open(file, "w") as out:
        out.write(FILE.format(port=port, member=member.server.address))
    programs.append(Program(["serve", "--config", file], {}, scratch))
    wait_until(lambda: accepts(port), 10, "the proxy does not listen")
    key = "order-1"
    for _ in range(MAX_TRIES):
        status, wait_s, proxy_status = order(port, key, record)
        # Only what the proxy itself refuses is harmless to repeat.
        if status != 503 or "error=destination_unavailable" not in proxy_status:
            break
        record.line("client: was refused, repeats after the %.0f s that it was told" % wait_s)
        time.sleep(wait_s)
    if not member.runs:
        raise CannotRun("the order did not reach the member")
    if len(member.runs) == 1:
        return []
    return ["the order was run %d times, %.2f s apart; it was repeated only where the proxy had refused it" % (
        len(member.runs), member.runs[-1] - member.runs[0])]


play(FOLDER, case)
