package inspector

import "io"

// Reader reads a response and checks its heads. After an error of Head, the bytes before
// the one at fault are returned, and the error by each later read.
type Reader struct {
	Source io.Reader
	Head   Head

	err error
}

var _ io.Reader = (*Reader)(nil)

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.Source.Read(p)
	good, checkErr := r.Head.Check(p[:n])
	if checkErr != nil {
		r.err, err = checkErr, nil
		if good == 0 {
			err = checkErr
		}
	}
	return good, err
}
