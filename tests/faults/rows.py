"""All rows of the matrix."""

from tests.faults import (
    booking_rows,
    config_row,
    drain_row,
    fleet_rows,
    stream_row,
    version_row,
)
from tests.faults.cells import Row

ALL_ROWS: dict[str, Row] = {
    row.row_id: row
    for row in (
        fleet_rows.I1,
        fleet_rows.I2,
        fleet_rows.I3,
        version_row.ROW,
        stream_row.ROW,
        booking_rows.I6,
        booking_rows.I7,
        fleet_rows.I8,
        drain_row.ROW,
        config_row.ROW,
    )
}
